"""Limit on the reads of the origin that one fetcher has in progress."""

import eventlet
from eventlet import semaphore

MAX_READS = 64
PAUSE_S = 0.25
PAUSE_MAX_S = 5.0


class OriginWindow:
    """Grows with each verified read, and falls to one after a failure.

    A failed read keeps its place for a pause that doubles, so an origin
    that is down or holds other bytes is asked for one chunk at a time.
    """

    def __init__(self) -> None:
        """Start with one read."""
        self.limit = 1
        self.excess = 0
        self.pause_s = PAUSE_S
        self.places = semaphore.Semaphore(1)

    def __enter__(self) -> None:
        """Wait for a place."""
        self.places.acquire()

    def __exit__(self, kind, error, trace) -> None:
        """Give the place back."""
        if self.excess > 0:
            self.excess -= 1
            return
        self.places.release()

    def note_success(self) -> None:
        """Allow one read more."""
        self.pause_s = PAUSE_S
        if self.limit < MAX_READS:
            self.limit += 1
            self.places.release()

    def note_failure(self) -> None:
        """Allow one read only, and pause; called while a place is held."""
        while self.limit > 1:
            self.limit -= 1
            if not self.places.acquire(blocking=False):
                self.excess += 1
        pause_s = self.pause_s
        self.pause_s = min(2 * pause_s, PAUSE_MAX_S)
        eventlet.sleep(pause_s)
