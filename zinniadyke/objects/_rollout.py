"""The rollout kind."""

import enum

import msgspec

from zinniadyke.objects import _registry


class Favour(enum.Enum):
    """What a rollout gives weight to.

    ORIGIN reads one copy from the origin. TIME reads one and a half.
    """

    ORIGIN = "origin"
    TIME = "time"


class RolloutState(enum.Enum):
    """What operators want of a rollout."""

    RUNNING = "running"
    PAUSED = "paused"
    CANCELLED = "cancelled"


@_registry.register("rollout", references={"model": "model"})
class Rollout(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Brings a version of a model to the targets of its service.

    Attributes
    ----------
    sequence
        Of two rollouts of a model the higher one holds.
    floor
        Replicas that must keep serving while others swap.
    replicas
        Number of targets wanted; 0 for all.
    """

    model: str
    version: str
    sequence: int = 1
    favour: Favour = Favour.ORIGIN
    floor: int = 1
    replicas: int = 0
    state: RolloutState = RolloutState.RUNNING
