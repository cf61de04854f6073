"""Changes to the declared objects and the checks that they must pass."""

import msgspec

from zinniadyke import errors
from zinniadyke import objects


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """An object to set, or to delete when ``value`` is None."""

    key: objects.ObjectKey
    value: msgspec.Struct | None

    def describe(self, present: objects.Configuration) -> str:
        """Return a one-line summary: + adds, ~ changes, - deletes."""
        name = f"{self.key.kind} {self.key.name}"
        if self.key.scope:
            name += f" of {self.key.scope}"
        if self.value is None:
            return f"- {name}"
        if self.key in present.objects:
            return f"~ {name}"
        return f"+ {name}"


def plan_changes(
    present: objects.Configuration, wanted: list[Change]
) -> list[Change]:
    """Return those of ``wanted`` that would change ``present``.

    Raises
    ------
    DeclarationError
        The result would refer to undeclared objects, or change an existing
        version.
    """
    merged = {change.key: change for change in wanted}
    changes = [
        change
        for change in merged.values()
        if present.objects.get(change.key) != change.value
    ]
    for change in changes:
        _check_immutable(present, change)
    _check_result(present, changes)
    return changes


def _check_immutable(present: objects.Configuration, change: Change) -> None:
    before = present.objects.get(change.key)
    if change.key.kind == "version" and before and change.value:
        raise errors.DeclarationError(
            f"version {change.key.name} of {change.key.scope} is"
            " immutable; declare another version"
        )


def _check_result(
    present: objects.Configuration, changes: list[Change]
) -> None:
    after = dict(present.objects)
    for change in changes:
        if change.value is None:
            after.pop(change.key, None)
        else:
            after[change.key] = change.value
    result = objects.Configuration(objects=after)
    problems = objects.check_references(result)
    if problems:
        raise errors.DeclarationError("; ".join(problems))
