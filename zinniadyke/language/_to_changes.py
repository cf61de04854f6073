"""Turns declarations and commands into changes of objects."""

import enum
import typing

import msgspec

from zinniadyke import control
from zinniadyke import errors
from zinniadyke.language import _parser
from zinniadyke.language import _rollback
from zinniadyke.language import _statements
from zinniadyke.language import _values
from zinniadyke import objects

ROLLOUT_STATES = {
    _statements.Verb.START: objects.RolloutState.RUNNING,
    _statements.Verb.RESUME: objects.RolloutState.RUNNING,
    _statements.Verb.PAUSE: objects.RolloutState.PAUSED,
    _statements.Verb.CANCEL: objects.RolloutState.CANCELLED,
}
DRAINED = {
    _statements.Verb.DRAIN: True,
    _statements.Verb.RESTORE: False,
}


def to_changes(
    statements: list[_statements.Statement],
    present: objects.Configuration,
    *,
    file: str = "",
) -> list[control.Change]:
    """Return what the statements ask for, in order.

    Raises
    ------
    DeclarationError
        A statement is a query, or an object is not valid.
    """
    changes: list[control.Change] = []
    for statement in statements:
        try:
            changes.append(_change(statement, present, changes))
        except errors.DeclarationError as error:
            place = f"{file or 'statement'}:{statement.line}"
            raise errors.DeclarationError(
                f"{place}: {error.message}", code=error.code
            )
    return changes


def _change(statement, present, before) -> control.Change:
    if isinstance(statement, _statements.Define):
        fields = _plain(statement.key.kind, statement.fields)
        value = objects.convert(statement.key.kind, fields)
        return control.Change(key=statement.key, value=value)
    if isinstance(statement, _statements.Delete):
        return control.Change(key=statement.key, value=None)
    if isinstance(statement, _statements.Command):
        return _command_change(statement, _with_changes(present, before))
    raise errors.DeclarationError("a query cannot be applied")


def _with_changes(
    present: objects.Configuration, changes: list[control.Change]
) -> objects.Configuration:
    """Return the configuration after the statements before."""
    found = dict(present.objects)
    for change in changes:
        found[change.key] = change.value
    kept = {key: value for key, value in found.items() if value is not None}
    return objects.Configuration(revision=present.revision, objects=kept)


def _command_change(
    statement: _statements.Command, configuration: objects.Configuration
) -> control.Change:
    key = statement.key
    if (key.kind, statement.verb) == ("rollout", _statements.Verb.ROLLBACK):
        made, value = _rollback.rollback(configuration, key.name)
        return control.Change(key=made, value=value)
    value = _command(statement, configuration.objects.get(key))
    return control.Change(key=key, value=value)


def _command(
    statement: _statements.Command, value: msgspec.Struct | None
) -> msgspec.Struct:
    kind, name, verb = statement.key.kind, statement.key.name, statement.verb
    if kind == "target" and verb in DRAINED:
        return objects.Target(drained=DRAINED[verb])
    if kind == "rollout" and verb in ROLLOUT_STATES:
        if value is None:
            raise errors.DeclarationError(f"no rollout '{name}'")
        return msgspec.structs.replace(value, state=ROLLOUT_STATES[verb])
    raise errors.DeclarationError(f"a {kind} has no command {verb.value}")


def _plain(kind: str, fields: dict) -> dict:
    hints = typing.get_type_hints(objects.KINDS[kind].struct)
    return {
        name: _interpret(value, hints.get(name))
        for name, value in fields.items()
    }


def _interpret(value, hint):
    if isinstance(value, list):
        inner = (typing.get_args(hint) or (None,))[0]
        return [_interpret(item, inner) for item in value]
    if isinstance(value, dict):
        inner = (typing.get_args(hint) or (None, None))[-1]
        return {k: _interpret(v, inner) for k, v in value.items()}
    text_wanted = hint is str or _is_enum(hint)
    if isinstance(value, _parser.Word) and not text_wanted:
        return _values.interpret(value)
    return str(value)


def _is_enum(hint) -> bool:
    return isinstance(hint, type) and issubclass(hint, enum.Enum)
