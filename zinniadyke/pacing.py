"""Rate limit of bulk transfers."""

import time

import eventlet


class TokenBucket:
    """Token bucket that delays bulk senders to keep within a rate.

    Bytes of live requests are charged without waiting, so bulk senders wait
    longer while requests use the link.

    Parameters
    ----------
    bytes_per_s
        Rate limit; 0 for none.
    burst_bytes
        Bytes that may be sent at once after a pause.

    Attributes
    ----------
    free_at
        Monotonic time, in seconds, from which the bytes charged so far are
        within the rate.
    """

    def __init__(
        self, *, bytes_per_s: float = 0.0, burst_bytes: float = 0.0
    ) -> None:
        """Start with a full bucket."""
        self.bytes_per_s = bytes_per_s
        self.burst_bytes = burst_bytes
        self.free_at = 0.0

    def charge(self, size_bytes: int) -> float:
        """Charge bytes and return how long to wait, in seconds."""
        if self.bytes_per_s <= 0:
            return 0.0
        now = time.monotonic()
        earliest_free_at = now - self.burst_bytes / self.bytes_per_s
        self.free_at = max(self.free_at, earliest_free_at)
        self.free_at += size_bytes / self.bytes_per_s
        return max(0.0, self.free_at - now)

    def take(self, size_bytes: int) -> None:
        """Charge bytes and wait until they may be sent."""
        wait_s = self.charge(size_bytes)
        if wait_s > 0:
            eventlet.sleep(wait_s)
