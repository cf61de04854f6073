"""Adaptive concurrency limit for one fetcher's reads of the origin."""

import eventlet
from eventlet import semaphore

MAX_CONCURRENT_READS = 64
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 5.0


class OriginReadLimit:
    """Concurrency limit that grows on success and drops to 1 on failure.

    Each verified read raises the limit by 1. A failed read holds its permit
    during an exponential backoff, so an origin that is down or serves
    different bytes gets one read at a time.
    """

    def __init__(self) -> None:
        """Initialize the limit to one read."""
        self.limit = 1
        self.permits_to_retire = 0
        self.backoff_s = INITIAL_BACKOFF_S
        self.permits = semaphore.Semaphore(1)

    def __enter__(self) -> None:
        """Wait for a permit."""
        self.permits.acquire()

    def __exit__(self, kind, error, trace) -> None:
        """Release the permit, or retire it if the limit has dropped."""
        if self.permits_to_retire > 0:
            self.permits_to_retire -= 1
            return
        self.permits.release()

    def record_success(self) -> None:
        """Raise the limit by one and reset the backoff."""
        self.backoff_s = INITIAL_BACKOFF_S
        if self.limit < MAX_CONCURRENT_READS:
            self.limit += 1
            self.permits.release()

    def record_failure(self) -> None:
        """Drop the limit to one and back off; the caller holds a permit."""
        while self.limit > 1:
            self.limit -= 1
            if not self.permits.acquire(blocking=False):
                self.permits_to_retire += 1
        backoff_s = self.backoff_s
        self.backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        eventlet.sleep(backoff_s)
