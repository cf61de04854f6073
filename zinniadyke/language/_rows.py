"""Selects rows for a query."""

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
    """Return the rows that a query asks for, with its columns.

    Raises
    ------
    DeclarationError
        A field does not exist or cannot be compared.
    """
    found = [r for r in rows if all(matches(r, c) for c in query.where)]
    if query.order_by:
        found.sort(
            key=lambda row: _sort_key(field(row, query.order_by)),
            reverse=query.descending,
        )
    if query.limit:
        found = found[: query.limit]
    if not query.columns:
        return found
    return [{c: field(row, c) for c in query.columns} for row in found]


def matches(row: Row, condition: _statements.Condition) -> bool:
    """Return whether a row meets a condition."""
    value = field(row, condition.field)
    wanted: object = condition.value
    if isinstance(value, bool) or not isinstance(value, str):
        wanted = _values.interpret(condition.value)
    try:
        return bool(OPERATORS[condition.operator](value, wanted))
    except TypeError:
        raise errors.DeclarationError(
            f"{condition.field} cannot be compared with {condition.value}"
        )


def field(row: Row, name: str) -> object:
    """Return a field of a row."""
    if name not in row:
        raise errors.DeclarationError(
            f"no field '{name}'; the fields are {', '.join(row)}"
        )
    return row[name]


def _sort_key(value: object) -> tuple[int, float, str]:
    if isinstance(value, int | float):
        return 0, float(value), ""
    return 1, 0.0, str(value)
