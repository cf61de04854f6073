"""Rollout progress that the controller stores in the platform."""

import msgspec

from zinniadyke import platform

STATUS_PREFIX = "status/rollout/"


class RolloutProgress(msgspec.Struct, kw_only=True):
    """Stored progress of a rollout: state and counts of its targets.

    Attributes
    ----------
    waiting
        Host to the number of the result code that says why it waits.
    elapsed_s
        Time since this controller first saw the rollout, in seconds.
    """

    rollout: str
    model: str
    version: str
    state: str
    total: int = 0
    staged: int = 0
    serving: int = 0
    down: int = 0
    floor: int = 0
    complete: bool = False
    waiting: dict[str, int] = {}
    elapsed_s: float = 0.0
    fence: int = 0


def write_progress(
    client: platform.PlatformClient, progress: RolloutProgress
) -> None:
    """Store the progress, so that any entry can answer queries about it."""
    platform.update(
        client,
        STATUS_PREFIX + progress.rollout,
        lambda value: msgspec.json.encode(progress),
        purpose=platform.Purpose.STATUS,
        deadline_s=2.0,
    )


def read_progress(
    client: platform.PlatformClient, rollout: str
) -> RolloutProgress | None:
    """Return the last stored progress of a rollout, None if none exists."""
    stored = client.get(
        STATUS_PREFIX + rollout, purpose=platform.Purpose.STATUS
    )
    if stored is None:
        return None
    return msgspec.json.decode(stored.value, type=RolloutProgress)
