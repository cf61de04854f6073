"""Statement types of the language."""

import enum

import msgspec

from zinniadyke import objects


class Verb(enum.Enum):
    """What a command does to an object."""

    START = "start"
    PAUSE = "pause"
    RESUME = "resume"
    CANCEL = "cancel"
    ROLLBACK = "rollback"
    DRAIN = "drain"
    RESTORE = "restore"


class Statement(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of all statements.

    Attributes
    ----------
    line
        Line on which it begins, counted from 1.
    """

    line: int = 0


class Define(Statement):
    """Declares one object."""

    key: objects.ObjectKey
    fields: dict


class Delete(Statement):
    """Deletes one object."""

    key: objects.ObjectKey


class Command(Statement):
    """Changes one field of one object."""

    verb: Verb
    key: objects.ObjectKey


class Condition(msgspec.Struct, frozen=True, kw_only=True):
    """Compares a field with a value."""

    field: str
    operator: str
    value: str


class Show(Statement):
    """Lists the rows of a kind.

    Attributes
    ----------
    columns
        Fields to show; empty for all.
    limit
        Maximum number of rows; 0 for all.
    """

    kind: str
    columns: list[str] = []
    where: list[Condition] = []
    order_by: str = ""
    descending: bool = False
    limit: int = 0


class Explain(Statement):
    """Asks which route a request takes, and why."""

    workspace: str
    model: str
    request_class: str = ""


class Wait(Statement):
    """Waits until a rollout meets a condition.

    Attributes
    ----------
    within_s
        Time limit in seconds.
    """

    rollout: str
    condition: Condition
    within_s: float = 300.0
