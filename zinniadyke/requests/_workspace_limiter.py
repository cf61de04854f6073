"""Rate and concurrency limits of a workspace at one entry.

A limit applies to all entries together, without a remote call for each
request: every entry enforces the limit divided by the number of entries.
"""

import time

from zinniadyke import errors
from zinniadyke import objects

BURST_S = 1.0
CONCURRENCY_RETRY_AFTER_S = 0.5


class WorkspaceLimiter:
    """Enforces one entry's share of a workspace's limit.

    The rate limit is a token bucket; the concurrency limit counts requests
    in flight.
    """

    def __init__(self) -> None:
        """Start with no requests in flight and a full token bucket."""
        self.tokens = 0.0
        self.refilled_at_s = 0.0
        self.in_flight = 0

    def admit(self, limit: objects.Limit, entries: int) -> None:
        """Admit one request.

        Parameters
        ----------
        limit
            The workspace's limit for all entries together.
        entries
            Number of live entries.

        Raises
        ------
        RequestError
            RATE_LIMITED: over the limit, with the time to retry after.
        """
        entries = max(entries, 1)
        self._check_concurrency(limit, entries)
        if limit.rate > 0:
            self._take_token(limit.rate / entries)
        self.in_flight += 1

    def release(self) -> None:
        """Record the end of an admitted request."""
        self.in_flight -= 1

    def _check_concurrency(self, limit: objects.Limit, entries: int) -> None:
        if not limit.concurrency:
            return
        entry_limit = max(1, limit.concurrency // entries)
        if self.in_flight >= entry_limit:
            raise errors.RequestError(
                "the workspace's concurrency limit is reached",
                code=errors.ResultCode.RATE_LIMITED,
                retry_after_s=CONCURRENCY_RETRY_AFTER_S,
            )

    def _take_token(self, rate: float) -> None:
        now = time.monotonic()
        burst = max(1.0, rate * BURST_S)
        refill = (now - self.refilled_at_s) * rate
        self.tokens = min(burst, self.tokens + refill)
        self.refilled_at_s = now
        if self.tokens < 1:
            raise errors.RequestError(
                code=errors.ResultCode.RATE_LIMITED,
                retry_after_s=(1 - self.tokens) / rate,
            )
        self.tokens -= 1
