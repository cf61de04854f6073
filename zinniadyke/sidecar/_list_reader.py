"""Reads a list of the store when the one at hand is too old."""

from collections.abc import Callable
import time

from eventlet import semaphore

from zinniadyke import directory

# Pause after a list that the store did not answer.
RETRY_PAUSE_S = 0.4


class ListReader:
    """Keeps a list of the store no older than its readers need.

    While the store does not answer, what it listed last stays in use.

    Attributes
    ----------
    read_at, failed_at
        Monotonic times of the last list and of the last failed one.
    """

    def __init__(
        self,
        *,
        follower: directory.Follower,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without a list."""
        self.follower = follower
        self.clock = clock
        self.read_at = float("-inf")
        self.failed_at = float("-inf")
        self.lock = semaphore.Semaphore()

    @property
    def age_s(self) -> float:
        """Time since the last list, in seconds; infinite before the first."""
        return self.clock() - self.read_at

    def refresh(self, max_age_s: float) -> None:
        """List the objects again if the last list is older than this."""
        # Tasks that need the list at the same time share one call.
        with self.lock:
            if (
                self.age_s <= max_age_s
                or self.clock() - self.failed_at < RETRY_PAUSE_S
            ):
                return
            if self.follower.try_relist():
                self.read_at = self.clock()
            else:
                self.failed_at = self.clock()
