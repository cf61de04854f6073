"""Converts declarations and commands into changes of objects."""

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

ROLLOUT_STATE_BY_VERB = {
    _statements.Verb.START: objects.RolloutState.RUNNING,
    _statements.Verb.RESUME: objects.RolloutState.RUNNING,
    _statements.Verb.PAUSE: objects.RolloutState.PAUSED,
    _statements.Verb.CANCEL: objects.RolloutState.CANCELLED,
}
DRAINED_BY_VERB = {
    _statements.Verb.DRAIN: True,
    _statements.Verb.RESTORE: False,
}


def to_changes(
    statements: list[_statements.Statement],
    current: objects.Configuration,
    *,
    file: str = "",
) -> list[control.Change]:
    """Return the changes that the statements make, in order.

    Parameters
    ----------
    current
        Configuration that commands refer to.
    file
        File name for error messages.

    Raises
    ------
    DeclarationError
        A statement is a query, or an object is not valid.
    """
    changes: list[control.Change] = []
    for statement in statements:
        try:
            changes.append(_to_change(statement, current, changes))
        except errors.DeclarationError as error:
            place = f"{file or 'statement'}:{statement.line}"
            raise errors.DeclarationError(
                f"{place}: {error.message}", code=error.code
            )
    return changes


def _to_change(statement, current, earlier_changes) -> control.Change:
    if isinstance(statement, _statements.Define):
        fields = _interpret_fields(statement.key.kind, statement.fields)
        value = objects.convert(statement.key.kind, fields)
        return control.Change(key=statement.key, value=value)
    if isinstance(statement, _statements.Delete):
        return control.Change(key=statement.key, value=None)
    if isinstance(statement, _statements.Command):
        return _command_change(
            statement, _apply_changes(current, earlier_changes)
        )
    raise errors.DeclarationError("a query cannot be applied")


def _apply_changes(
    current: objects.Configuration, changes: list[control.Change]
) -> objects.Configuration:
    """Return the configuration with the changes applied."""
    found = dict(current.objects)
    for change in changes:
        found[change.key] = change.value
    remaining = {
        key: value for key, value in found.items() if value is not None
    }
    return objects.Configuration(revision=current.revision, objects=remaining)


def _command_change(
    statement: _statements.Command, configuration: objects.Configuration
) -> control.Change:
    key = statement.key
    if (key.kind, statement.verb) == ("rollout", _statements.Verb.ROLLBACK):
        rollout_key, value = _rollback.rollback(configuration, key.name)
        return control.Change(key=rollout_key, value=value)
    value = _changed_object(statement, configuration.objects.get(key))
    return control.Change(key=key, value=value)


def _changed_object(
    statement: _statements.Command, value: msgspec.Struct | None
) -> msgspec.Struct:
    kind, name, verb = statement.key.kind, statement.key.name, statement.verb
    if kind == "target" and verb in DRAINED_BY_VERB:
        return objects.Target(drained=DRAINED_BY_VERB[verb])
    if kind == "rollout" and verb in ROLLOUT_STATE_BY_VERB:
        if value is None:
            raise errors.DeclarationError(f"no rollout '{name}'")
        return msgspec.structs.replace(
            value, state=ROLLOUT_STATE_BY_VERB[verb]
        )
    raise errors.DeclarationError(f"a {kind} has no command {verb.value}")


def _interpret_fields(kind: str, fields: dict) -> dict:
    hints = typing.get_type_hints(objects.KINDS[kind].struct)
    return {
        name: _interpret_value(value, hints.get(name))
        for name, value in fields.items()
    }


def _interpret_value(value, hint):
    if isinstance(value, list):
        item_hint = (typing.get_args(hint) or (None,))[0]
        return [_interpret_value(item, item_hint) for item in value]
    if isinstance(value, dict):
        item_hint = (typing.get_args(hint) or (None, None))[-1]
        return {k: _interpret_value(v, item_hint) for k, v in value.items()}
    expects_text = hint is str or _is_enum(hint)
    if isinstance(value, _parser.Word) and not expects_text:
        return _values.interpret(value)
    return str(value)


def _is_enum(hint) -> bool:
    return isinstance(hint, type) and issubclass(hint, enum.Enum)
