"""Pacing of bulk bytes below a rate."""

import time

import eventlet


class TokenBucket:
    """Delays senders so that bytes leave at no more than a rate.

    Live requests' bytes are charged without waiting, so bulk senders wait
    longer when requests use the link.

    Parameters
    ----------
    bytes_per_s
        The rate; 0 for unlimited.
    burst_bytes
        Bytes that may leave at once after a pause.
    """

    def __init__(
        self, *, bytes_per_s: float = 0.0, burst_bytes: float = 0.0
    ) -> None:
        """Start with a full burst."""
        self.bytes_per_s = bytes_per_s
        self.burst_bytes = burst_bytes
        self.free_at = 0.0

    def charge(self, size: int) -> float:
        """Count ``size`` bytes and return the wait they ask for, in s."""
        if self.bytes_per_s <= 0:
            return 0.0
        now = time.monotonic()
        earliest = now - self.burst_bytes / self.bytes_per_s
        self.free_at = max(self.free_at, earliest)
        self.free_at += size / self.bytes_per_s
        return max(0.0, self.free_at - now)

    def take(self, size: int) -> None:
        """Wait until ``size`` bytes may leave."""
        wait_s = self.charge(size)
        if wait_s > 0:
            eventlet.sleep(wait_s)
