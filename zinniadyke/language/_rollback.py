"""The rollout that takes the place of one that is rolled back."""

import msgspec

from zinniadyke import errors
from zinniadyke import objects

SUFFIX = "-rollback"


def rollback(
    configuration: objects.Configuration, name: str
) -> tuple[objects.ObjectKey, objects.Rollout]:
    """Return a rollout to the version that came before rollout ``name``.

    Its name follows from ``name``, so rolling back twice is once.

    Raises
    ------
    DeclarationError
        There is no such rollout, a later one holds, or none came before.
    """
    key = objects.ObjectKey(kind="rollout", name=name + SUFFIX)
    made = configuration.objects.get(key)
    if made is not None:
        return key, made
    wrong = configuration.get("rollout", name)
    if wrong is None:
        raise errors.DeclarationError(f"no rollout '{name}'")
    line = [
        (k.name, rollout)
        for k, rollout in configuration.rollouts_of(wrong.model)
        if rollout.state is not objects.RolloutState.CANCELLED
        or k.name == name
    ]
    if line[0][0] != name:
        raise errors.DeclarationError(
            f"'{line[0][0]}' came after rollout '{name}'"
        )
    for _, former in line[1:]:
        if former.version != wrong.version:
            return key, msgspec.structs.replace(
                wrong,
                version=former.version,
                sequence=_next_sequence(configuration, wrong.model),
                state=objects.RolloutState.RUNNING,
            )
    raise errors.DeclarationError(f"no version came before rollout '{name}'")


def _next_sequence(configuration: objects.Configuration, model: str) -> int:
    """Return a sequence above all rollouts, cancelled ones too."""
    return configuration.rollouts_of(model)[0][1].sequence + 1
