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
# An entry that has not asked again for this long wants no token any more,
# however long it said that it waits: its request has gone to another target.
REQUEST_LIFETIME_S = 0.2
# Time for which a rate that an entry named stays in force, as entries learn
# at different times that a target is cold.
NAMED_FOR_S = 1.0
# Rates and lifetimes remembered for a target, the latest ones.
MAX_NAMED = 64
# Part of a short lifetime for which an unused token can still be lent; the
# rest is left to the entry.
LENDABLE_PART = 0.2
# Time for which this agent lends no tokens of a cold target after it has taken
# over: another agent may still lend some, or entries may use their shares.
TAKEOVER_S = 1.0
IDLE_CHECK_S = 1.0
MS_PER_S = 1000.0

SocketAddress = tuple[str, int]
# Address and start of a target.
LimitKey = tuple[str, int]


class Waiting(msgspec.Struct, frozen=True, kw_only=True):
    """An entry that waits for a token.

    Attributes
    ----------
    until
        Monotonic time until which it waits.
    asked_ms
        As in the request.
    received_at
        Monotonic time of the request.
    """

    until: float
    asked_ms: int
    received_at: float


class Limit(msgspec.Struct, kw_only=True):
    """Tokens of one target.

    Attributes
    ----------
    lifetime_s
        Time for which a token is valid after it falls due.
    waiting
        Entries that wait for a token in the order in which they asked.
    named
        Monotonic time at which each rate and lifetime was last named.
    """

    limit_per_s: float
    schedule: requests.TokenSchedule
    lifetime_s: float = requests.TOKEN_LIFETIME_S
    waiting: dict[SocketAddress, Waiting] = {}
    named: dict[tuple[float, float], float] = {}

    @property
    def expires_soon(self) -> bool:
        """Whether tokens have a short lifetime, as those of cold targets."""
        return self.lifetime_s < requests.TOKEN_LIFETIME_S

    def name(self, limit_per_s: float, lifetime_s: float, now: float) -> None:
        """Apply the rate and lifetime that an entry assumes.

        Load: entries that do not know yet that the target is cold. While any
        entry names a short lifetime, the lowest rate and lifetime hold.
        """
        self.named.pop((limit_per_s, lifetime_s), None)
        self.named[limit_per_s, lifetime_s] = now
        while len(self.named) > MAX_NAMED:
            del self.named[next(iter(self.named))]
        self.named = {
            key: at for key, at in self.named.items() if now < at + NAMED_FOR_S
        }
        shortest_s = min(lifetime for _, lifetime in self.named)
        if shortest_s < requests.TOKEN_LIFETIME_S:
            limit_per_s = min(rate for rate, _ in self.named)
        self.lifetime_s = min(shortest_s, requests.TOKEN_LIFETIME_S)
        self.schedule.lifetime_s = self.lifetime_s * (
            LENDABLE_PART if self.expires_soon else 1.0
        )
        if limit_per_s != self.limit_per_s:
            self.limit_per_s = limit_per_s
            self.schedule.set_rate(limit_per_s, now)


class TokenLender:
    """Lends each token to the entry that has waited longest.

    Parameters
    ----------
    send
        Sends a message to an entry.
    address
        Address of this agent's own target, whose tokens no other agent
        lends.
    """

    def __init__(
        self,
        *,
        send: Callable[[reports.Message, SocketAddress], None],
        address: str = "",
    ) -> None:
        """Start without limits."""
        self.address = address
        self.started_at = time.monotonic()
        self.send = send
        self.limits: dict[LimitKey, Limit] = {}
        self.changed = directory.Signal()

    def handle_request(
        self, message: reports.TokenRequest, sender: SocketAddress
    ) -> None:
        """Lend a token, or tell when the next one falls due."""
        if not (
            0 < message.limit_per_s < math.inf and message.lifetime_ms > 0
        ):
            LOG.warning(
                "limit unusable, ignored",
                extra={"address": message.address, "host": sender[0]},
            )
            return
        now = time.monotonic()
        key = message.address, message.born_ms
        lifetime_s = message.lifetime_ms / MS_PER_S
        if self._is_earlier_start(key):
            # Whatever it gets would count for the present start.
            self._answer(key, sender, granted=False, next_in_s=lifetime_s)
            return
        limit = self._limit(key, message.limit_per_s, lifetime_s, now)
        if len(limit.waiting) < MAX_WAITING or sender in limit.waiting:
            wait_s = min(message.wait_ms / MS_PER_S, REQUEST_LIFETIME_S)
            limit.waiting[sender] = Waiting(
                until=now + wait_s, asked_ms=message.asked_ms, received_at=now
            )
        self._lend(key, limit, now)
        if sender in limit.waiting and message.wait_ms <= 0:
            del limit.waiting[sender]
            self._answer(
                key,
                sender,
                granted=False,
                next_in_s=limit.schedule.next_in_s(now),
                lifetime_s=lifetime_s,
                lent_ms=message.asked_ms,
            )
        elif sender in limit.waiting:
            position = list(limit.waiting).index(sender)
            next_in_s = (
                limit.schedule.next_in_s(now) + position / limit.limit_per_s
            )
            self._answer(
                key,
                sender,
                granted=False,
                next_in_s=next_in_s,
                lifetime_s=lifetime_s,
                lent_ms=message.asked_ms,
            )
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

    def _is_earlier_start(self, key: LimitKey) -> bool:
        """Whether a cold target is known to have started again since."""
        return bool(key[1]) and any(
            address == key[0] and born_ms > key[1] and limit.expires_soon
            for (address, born_ms), limit in self.limits.items()
        )

    def _first_lent_at(
        self, address: str, lifetime_s: float, now: float
    ) -> float:
        """Return when the first token of a cold target may be lent."""
        taken_over_at = self.started_at if address == self.address else now
        # Entries that knew only an earlier start may have sent requests to
        # this one, if it keeps the id.
        earlier = [
            limit.schedule.due_at
            for (other, _), limit in self.limits.items()
            if other == address and limit.expires_soon
        ]
        return max(now, taken_over_at + TAKEOVER_S + lifetime_s, *earlier)

    def _limit(
        self, key: LimitKey, limit_per_s: float, lifetime_s: float, now: float
    ) -> Limit:
        limit = self.limits.pop(key, None)
        if limit is None:
            LOG.info(
                "lending tokens",
                extra={
                    "address": key[0],
                    "limit_per_s": limit_per_s,
                    "lifetime_ms": int(lifetime_s * MS_PER_S),
                },
            )
            first_at = now
            if lifetime_s < requests.TOKEN_LIFETIME_S:
                first_at = self._first_lent_at(key[0], lifetime_s, now)
            limit = Limit(
                limit_per_s=limit_per_s,
                schedule=requests.TokenSchedule(
                    rate_per_s=limit_per_s, now=first_at, keeps_phase=False
                ),
            )
        limit.name(limit_per_s, lifetime_s, now)
        self.limits[key] = limit
        while len(self.limits) > MAX_LIMITS:
            del self.limits[next(iter(self.limits))]
        return limit

    def _lend(self, key: LimitKey, limit: Limit, now: float) -> None:
        while limit.waiting and limit.schedule.count(now):
            sender, waiting = next(iter(limit.waiting.items()))
            del limit.waiting[sender]
            if waiting.until >= now:
                left_s = limit.lifetime_s
                if limit.expires_soon:
                    left_s -= limit.schedule.age_s(now)
                limit.schedule.take(now)
                self._answer(
                    key,
                    sender,
                    granted=True,
                    next_in_s=0.0,
                    lifetime_s=left_s,
                    lent_ms=_lent_ms(waiting, now),
                )

    def _answer(
        self,
        key: LimitKey,
        sender: SocketAddress,
        *,
        granted: bool,
        next_in_s: float,
        lifetime_s: float = requests.TOKEN_LIFETIME_S,
        lent_ms: int = 0,
    ) -> None:
        self.send(
            reports.TokenAnswer(
                address=key[0],
                born_ms=key[1],
                granted=granted,
                next_in_ms=int(next_in_s * MS_PER_S),
                lifetime_ms=int(lifetime_s * MS_PER_S),
                lent_ms=lent_ms,
            ),
            sender,
        )


def _lent_ms(waiting: Waiting, now: float) -> int:
    """Return the uptime of the entry's host by which a token is lent."""
    if not waiting.asked_ms:
        return 0
    return waiting.asked_ms + int((now - waiting.received_at) * MS_PER_S)
