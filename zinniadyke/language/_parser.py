"""Parses text into typed statements."""

import functools
import json
import pathlib

import lark

from zinniadyke import errors
from zinniadyke.language import _statements
from zinniadyke.language import _values
from zinniadyke import objects

GRAMMAR_FILE = pathlib.Path(__file__).with_name("grammar.lark")

TERMINAL_NAMES = {
    "KIND": "a kind",
    "VERB": "a command",
    "WORD": "a name or value",
    "ESCAPED_STRING": "a quoted text",
    "COMPARISON": "one of != < <= > >=",
    "LBRACE": "'{'",
    "RBRACE": "'}'",
    "LSQB": "'['",
    "RSQB": "']'",
    "EQUAL": "'='",
    "COMMA": "','",
    "COLON": "':'",
    "SEMICOLON": "';'",
    "$END": "the end",
    "DESCENDING": "asc or desc",
}


class Word(str):
    """An unquoted word whose type is not yet known."""


@functools.cache
def _parser() -> lark.Lark:
    return lark.Lark(
        GRAMMAR_FILE.read_text(encoding="utf-8"),
        parser="lalr",
        propagate_positions=True,
        maybe_placeholders=True,
    )


def parse(text: str, *, file: str = "") -> list[_statements.Statement]:
    """Return the statements of ``text``.

    Parameters
    ----------
    file
        File name for error messages.

    Raises
    ------
    DeclarationError
        The text has a syntax error; the message shows its position.
    """
    try:
        tree = _parser().parse(text)
        return _StatementTransformer().transform(tree)
    except lark.exceptions.VisitError as error:
        original_error = error.orig_exc
        if isinstance(original_error, errors.UserError):
            raise original_error
        raise errors.DeclarationError(
            str(original_error), code=errors.ResultCode.SYNTAX
        )
    except lark.exceptions.UnexpectedInput as error:
        raise _syntax_error(error, text, file)


def _syntax_error(
    error: lark.exceptions.UnexpectedInput, text: str, file: str
) -> errors.DeclarationError:
    line = max(error.line, 1)
    column = max(error.column, 1)
    if isinstance(error, lark.exceptions.UnexpectedToken):
        if error.token.type == "$END":
            lines = text.splitlines() or [""]
            line, column = len(lines), len(lines[-1]) + 1
        found = str(error.token) or "the end"
        allowed = error.accepts or error.expected
    else:
        found = text[error.pos_in_stream : error.pos_in_stream + 1]
        allowed = error.allowed or set()
    names = sorted(
        TERMINAL_NAMES.get(name, f"'{name.lower()}'") for name in allowed
    )
    lines = text.splitlines() or [""]
    source_line = lines[line - 1] if line <= len(lines) else ""
    location = f"{file or 'statement'}:{line}:{column}"
    return errors.DeclarationError(
        f"{location}: found {found!r}, expected {', '.join(names)}\n"
        f"  {source_line}\n  {' ' * (column - 1)}^",
        code=errors.ResultCode.SYNTAX,
    )


def _key(kind: str, name: str, scope: str | None) -> objects.ObjectKey:
    scope_kind = objects.KINDS[kind].scope
    if scope_kind and not scope:
        raise errors.DeclarationError(
            f"{kind} {name}: say which {scope_kind} it belongs to,"
            f" as '{kind} {name} of NAME'"
        )
    if scope and not scope_kind:
        raise errors.DeclarationError(
            f"{kind} {name}: a {kind} does not take 'of NAME'"
        )
    return objects.ObjectKey(kind=kind, scope=scope or "", name=name)


def _unquote(text: str) -> str:
    """Return the value of a quoted text with JSON escapes."""
    try:
        return json.loads(text, strict=False)
    except ValueError as error:
        raise errors.DeclarationError(
            f"{text}: {error}", code=errors.ResultCode.SYNTAX
        )


@lark.v_args(meta=True)
class _StatementTransformer(lark.Transformer):
    """Transforms the parse tree into statements.

    lark calls the method that has the name of a grammar rule.
    """

    def start(self, meta, items):
        return items

    def define(self, meta, items):
        kind, name, scope, *fields = items
        values = {}
        for pair in fields:
            if pair is None:
                continue
            if pair[0] in values:
                raise errors.DeclarationError(
                    f"line {meta.line}: {pair[0]} is given twice"
                )
            values[pair[0]] = pair[1]
        return _statements.Define(
            line=meta.line,
            key=_key(str(kind), str(name), scope),
            fields=values,
        )

    def delete(self, meta, items):
        kind, name, scope = items
        return _statements.Delete(
            line=meta.line, key=_key(str(kind), str(name), scope)
        )

    def command(self, meta, items):
        verb, kind, name, scope = items
        return _statements.Command(
            line=meta.line,
            verb=_statements.Verb(str(verb)),
            key=_key(str(kind), str(name), scope),
        )

    def show(self, meta, items):
        kind, columns, where, order, limit = items
        return _statements.Show(
            line=meta.line,
            kind=str(kind),
            columns=columns or [],
            where=where or [],
            order_by=order[0] if order else "",
            descending=bool(order and order[1]),
            limit=limit or 0,
        )

    def explain(self, meta, items):
        workspace, model, request_class = items
        return _statements.Explain(
            line=meta.line,
            workspace=str(workspace),
            model=str(model),
            request_class=str(request_class or ""),
        )

    def wait(self, meta, items):
        rollout, condition, within = items
        limit_s = _values.duration_s(str(within)) if within else 300.0
        return _statements.Wait(
            line=meta.line,
            rollout=str(rollout),
            condition=condition,
            within_s=limit_s,
        )

    def columns(self, meta, items):
        return [str(item) for item in items]

    def where(self, meta, items):
        return items

    def condition(self, meta, items):
        field, operator, value = items
        return _statements.Condition(
            field=str(field), operator=str(operator), value=str(value)
        )

    def order(self, meta, items):
        return str(items[0]), str(items[1] or "") == "desc"

    def limit(self, meta, items):
        return int(items[1])

    def scope(self, meta, items):
        return str(items[0])

    def field(self, meta, items):
        return str(items[0]), items[1]

    def list(self, meta, items):
        return [item for item in items if item is not None]

    def map(self, meta, items):
        return dict(item for item in items if item is not None)

    def pair(self, meta, items):
        key = str(items[0])
        return _unquote(key) if key.startswith('"') else key, items[1]

    def text(self, meta, items):
        return _unquote(str(items[0]))

    def word(self, meta, items):
        return Word(items[0])
