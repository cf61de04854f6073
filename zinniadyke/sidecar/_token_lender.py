"""Lends tokens to entries, for targets that limit requests."""

from collections.abc import Callable
import logging
import math
import time

import msgspec

from zinniadyke import directory
from zinniadyke import reports
from zinniadyke import requests

LOG = logging.getLogger(__name__)

# Targets whose tokens are lent, the latest ones.
MAX_LIMITS = 256
# Entries that wait for a token of one target.
MAX_WAITING = 1024
# An entry that has not asked again for this long wants no token any more; its
# request has gone to another target.
REQUEST_LIFETIME_S = 0.2
IDLE_CHECK_S = 1.0
MS_PER_S = 1000.0

SocketAddress = tuple[str, int]
# Address and start of a target.
LimitKey = tuple[str, int]


class Limit(msgspec.Struct, kw_only=True):
    """Tokens of one target.

    Attributes
    ----------
    waiting
        Entries that wait for a token in the order in which they asked, with
        the monotonic time until which they do.
    """

    limit_per_s: float
    schedule: requests.TokenSchedule
    waiting: dict[SocketAddress, float] = {}


class TokenLender:
    """Lends each token to the entry that has waited longest.

    Parameters
    ----------
    send
        Sends a message to an entry.
    """

    def __init__(
        self, *, send: Callable[[reports.Message, SocketAddress], None]
    ) -> None:
        """Start without limits."""
        self.send = send
        self.limits: dict[LimitKey, Limit] = {}
        self.changed = directory.Signal()

    def handle_request(
        self, message: reports.TokenRequest, sender: SocketAddress
    ) -> None:
        """Lend a token, or tell when the next one falls due."""
        if not 0 < message.limit_per_s < math.inf:
            LOG.warning(
                "limit unusable, ignored",
                extra={"address": message.address, "host": sender[0]},
            )
            return
        now = time.monotonic()
        key = message.address, message.born_ms
        limit = self._limit(key, message.limit_per_s, now)
        if len(limit.waiting) < MAX_WAITING or sender in limit.waiting:
            limit.waiting[sender] = now + REQUEST_LIFETIME_S
        self._lend(key, limit, now)
        if sender in limit.waiting:
            position = list(limit.waiting).index(sender)
            next_in_s = (
                limit.schedule.next_in_s(now) + position / limit.limit_per_s
            )
            self._answer(key, sender, granted=False, next_in_s=next_in_s)
        self.changed.send()

    def run(self) -> None:
        """Lend tokens as they fall due, forever."""
        while True:
            now = time.monotonic()
            next_in_s = IDLE_CHECK_S
            for key, limit in list(self.limits.items()):
                self._lend(key, limit, now)
                if limit.waiting:
                    next_in_s = min(next_in_s, limit.schedule.next_in_s(now))
            self.changed.wait(next_in_s)

    def _limit(self, key: LimitKey, limit_per_s: float, now: float) -> Limit:
        limit = self.limits.pop(key, None)
        if limit is None:
            LOG.info(
                "lending tokens",
                extra={"address": key[0], "limit_per_s": limit_per_s},
            )
            limit = Limit(
                limit_per_s=limit_per_s,
                schedule=requests.TokenSchedule(
                    rate_per_s=limit_per_s, now=now, keeps_phase=False
                ),
            )
        elif limit.limit_per_s != limit_per_s:
            limit.limit_per_s = limit_per_s
            limit.schedule.set_rate(limit_per_s, now)
        self.limits[key] = limit
        while len(self.limits) > MAX_LIMITS:
            del self.limits[next(iter(self.limits))]
        return limit

    def _lend(self, key: LimitKey, limit: Limit, now: float) -> None:
        while limit.waiting and limit.schedule.count(now):
            sender, until = next(iter(limit.waiting.items()))
            del limit.waiting[sender]
            if until > now:
                limit.schedule.take(now)
                self._answer(key, sender, granted=True, next_in_s=0.0)

    def _answer(
        self,
        key: LimitKey,
        sender: SocketAddress,
        *,
        granted: bool,
        next_in_s: float,
    ) -> None:
        self.send(
            reports.TokenAnswer(
                address=key[0],
                born_ms=key[1],
                granted=granted,
                next_in_ms=int(next_in_s * MS_PER_S),
            ),
            sender,
        )
