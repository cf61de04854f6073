"""Filters, sorts and projects the rows of a query."""

from collections.abc import Iterable
import operator

from zinniadyke import errors
from zinniadyke.language import _statements
from zinniadyke.language import _values

Row = dict[str, object]

OPERATORS = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


def select(rows: Iterable[Row], query: _statements.Show) -> list[Row]:
    """Return the rows that match a query, with its columns.

    Raises
    ------
    DeclarationError
        A field does not exist or cannot be compared with the value.
    """
    selected = [r for r in rows if all(matches(r, c) for c in query.where)]
    if query.order_by:
        selected.sort(
            key=lambda row: _sort_key(field(row, query.order_by)),
            reverse=query.descending,
        )
    if query.limit:
        selected = selected[: query.limit]
    if not query.columns:
        return selected
    return [{c: field(row, c) for c in query.columns} for row in selected]


def matches(row: Row, condition: _statements.Condition) -> bool:
    """Return whether a row satisfies a condition."""
    value = field(row, condition.field)
    expected: object = condition.value
    if isinstance(value, bool) or not isinstance(value, str):
        expected = _values.interpret(condition.value)
    try:
        return bool(OPERATORS[condition.operator](value, expected))
    except TypeError:
        raise errors.DeclarationError(
            f"{condition.field} cannot be compared with {condition.value}"
        )


def field(row: Row, name: str) -> object:
    """Return the value of a row's field."""
    if name not in row:
        raise errors.DeclarationError(
            f"no field '{name}'; the fields are {', '.join(row)}"
        )
    return row[name]


def _sort_key(value: object) -> tuple[int, float, str]:
    if isinstance(value, int | float):
        return 0, float(value), ""
    return 1, 0.0, str(value)
