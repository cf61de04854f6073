"""The rollout kind."""

import enum

import msgspec

from zinniadyke.objects import _registry


class Favour(enum.Enum):
    """What a rollout gives priority to.

    ORIGIN reads one copy of the weights from the origin. TIME reads one and
    a half copies to end sooner.
    """

    ORIGIN = "origin"
    TIME = "time"


class RolloutState(enum.Enum):
    """State that operators set for a rollout."""

    RUNNING = "running"
    PAUSED = "paused"
    CANCELLED = "cancelled"


@_registry.register("rollout", references={"model": "model"})
class Rollout(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Deploys a version of a model to the targets of its service.

    Attributes
    ----------
    sequence
        The rollout of a model with the highest sequence is in effect.
    floor
        Replicas that must keep serving while others swap weights.
    replicas
        Number of targets to deploy to; 0 for all.
    """

    model: str
    version: str
    sequence: int = 1
    favour: Favour = Favour.ORIGIN
    floor: int = 1
    replicas: int = 0
    state: RolloutState = RolloutState.RUNNING
