"""Builds the rollout that replaces one that is rolled back."""

import msgspec

from zinniadyke import errors
from zinniadyke import objects

SUFFIX = "-rollback"


def rollback(
    configuration: objects.Configuration, name: str
) -> tuple[objects.ObjectKey, objects.Rollout]:
    """Return a rollout to the version before that of rollout ``name``.

    Its name is derived from ``name``, so rolling back is idempotent.

    Raises
    ------
    DeclarationError
        The rollout does not exist, a later one is in effect, or no earlier
        one has another version.
    """
    key = objects.ObjectKey(kind="rollout", name=name + SUFFIX)
    existing = configuration.objects.get(key)
    if existing is not None:
        return key, existing
    rolled_back = configuration.get("rollout", name)
    if rolled_back is None:
        raise errors.DeclarationError(f"no rollout '{name}'")
    candidates = [
        (k.name, rollout)
        for k, rollout in configuration.rollouts_of(rolled_back.model)
        if rollout.state is not objects.RolloutState.CANCELLED
        or k.name == name
    ]
    if candidates[0][0] != name:
        raise errors.DeclarationError(
            f"'{candidates[0][0]}' came after rollout '{name}'"
        )
    for _, previous in candidates[1:]:
        if previous.version != rolled_back.version:
            return key, msgspec.structs.replace(
                rolled_back,
                version=previous.version,
                sequence=_next_sequence(configuration, rolled_back.model),
                state=objects.RolloutState.RUNNING,
            )
    raise errors.DeclarationError(f"no version came before rollout '{name}'")


def _next_sequence(configuration: objects.Configuration, model: str) -> int:
    """Return a sequence above those of all rollouts, even cancelled."""
    return configuration.rollouts_of(model)[0][1].sequence + 1
