"""Free KV cache of a target, as known to an entry."""

import collections
import time

# Reports name values that are up to 200 ms old, and take some time to arrive.
REPORT_LAG_S = 0.3
# Older figures are ignored.
REPORT_MAX_AGE_S = 4.0


class KvMemory:
    """Reported KV cache of a target, less what this entry has sent since.

    Load: targets whose cache fills with long prompts and answers.
    """

    def __init__(self) -> None:
        """Start without a report."""
        self.reported_free_tokens = 0.0
        self.reported_at = float("-inf")
        # Time and tokens of each request that reports may not include yet.
        self.sent: collections.deque[tuple[float, int]] = collections.deque()

    def record_report(self, free_tokens: float) -> None:
        """Record the free part of the cache, in tokens."""
        self.reported_free_tokens = free_tokens
        self.reported_at = time.monotonic()
        while self.sent and self.sent[0][0] < self.reported_at - REPORT_LAG_S:
            self.sent.popleft()

    def record_sent(self, tokens: int) -> None:
        """Record the largest number of tokens that a sent request needs."""
        if self._is_known(time.monotonic()):
            self.sent.append((time.monotonic(), tokens))

    def free_tokens(self, now: float) -> float | None:
        """Return the tokens that there is memory for; None if unknown.

        Parameters
        ----------
        now
            Monotonic time, in seconds.
        """
        if not self._is_known(now):
            return None
        if not self.sent:
            return self.reported_free_tokens
        return self.reported_free_tokens - sum(n for _, n in self.sent)

    def _is_known(self, now: float) -> bool:
        return now <= self.reported_at + REPORT_MAX_AGE_S
