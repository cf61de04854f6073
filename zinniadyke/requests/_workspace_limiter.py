"""Rate and concurrency limits of a workspace at one entry.

A limit applies to all entries together. Where each entry's part of a rate is
at least one request a second, every entry enforces its part, without a remote
call for each request. A lower part would let each entry admit one request at
once, so an agent counts the requests of all entries.
"""

from collections.abc import Callable
import time

from zinniadyke import errors
from zinniadyke import objects

BURST_S = 1.0
# Smaller parts of a rate are not enforced by each entry for itself.
MIN_PART_PER_S = 1.0
CONCURRENCY_RETRY_AFTER_S = 0.5


class WorkspaceLimiter:
    """Enforces one entry's share of a workspace's limit.

    The rate limit is a token bucket; the concurrency limit counts requests
    in flight.
    """

    def __init__(self) -> None:
        """Start with no requests in flight.

        The first refill counts from clock time 0, so it fills the bucket.
        """
        self.tokens = 0.0
        self.refilled_at_s = 0.0
        self.in_flight = 0

    def admit(
        self,
        limit: objects.Limit,
        entries: int,
        take_shared: Callable[[float], float | None] = lambda rate: None,
    ) -> None:
        """Admit one request.

        Parameters
        ----------
        limit
            The workspace's limit for all entries together.
        entries
            Number of live entries.
        take_shared
            Takes a token under a rate that an agent counts for all entries;
            returns the time until there is one, 0 if it was taken, and None
            if no agent answers.

        Raises
        ------
        RequestError
            RATE_LIMITED: over the limit, with the time to retry after.
        """
        entries = max(entries, 1)
        self._check_concurrency(limit, entries)
        if limit.rate > 0:
            self._take_token(limit.rate, entries, take_shared)
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

    def _take_token(
        self,
        limit_rate: float,
        entries: int,
        take_shared: Callable[[float], float | None],
    ) -> None:
        rate = limit_rate / entries
        if rate < MIN_PART_PER_S and entries > 1:
            wait_s = take_shared(limit_rate)
            if wait_s == 0:
                return
            if wait_s is not None:
                raise errors.RequestError(
                    code=errors.ResultCode.RATE_LIMITED, retry_after_s=wait_s
                )
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
