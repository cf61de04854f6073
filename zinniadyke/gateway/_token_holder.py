"""An entry's tokens for requests to a target that limits them."""

import time

from zinniadyke import requests
from zinniadyke import uptime

# Time in which an agent answers; without an answer the entry uses its own
# share of the limit.
ANSWER_TIMEOUT_S = 0.3
# Shortest and longest time between requests for a token; half of the wait that
# the agent tells lies between them.
MIN_REPEAT_S = 0.1
MAX_REPEAT_S = 0.5
# Shortest time for a cold target, whose tokens fall due every 0.04 s and
# expire soon.
COLD_MIN_REPEAT_S = 0.03
# Time left in which a request can still be sent with a token.
MIN_LEFT_S = 0.01
# Time from the end of an agent's answers until shares of a cold target's limit
# are used, so that no second has both lent tokens and shares.
SHARE_DELAY_S = 1.0
MS_PER_S = 1000.0


class TokenHolder:
    """Holds the tokens that an agent lends, and a share without an agent.

    One agent lends the tokens of a target to all entries, so that together
    they keep the limit, and the entry with most requests gets most of them.
    While no agent answers, each entry uses an equal share.

    Parameters
    ----------
    limit_per_s
        Rate of tokens for all entries together.
    cold
        Limit of the target while it is cold; None if it is not.

    Attributes
    ----------
    expiries
        Uptimes at which the lent tokens expire. A process that was suspended
        must not use those that it got before.
    taken_until
        Uptime until which the token taken last may be used.
    ask_again_at
        Monotonic time of the next request for a token, if one is wanted.
    asked_at
        Monotonic time of the last request.
    unanswered_since
        Monotonic time of the first request without an answer; None if all
        were answered.
    next_at
        Monotonic time of the next token, as an agent or the share tells.
    """

    def __init__(
        self,
        *,
        limit_per_s: float,
        cold: requests.ColdLimit | None = None,
    ) -> None:
        """Start without tokens."""
        self.limit_per_s = limit_per_s
        self.cold = cold
        self.expiries: list[float] = []
        self.taken_until = float("-inf")
        self.ask_again_at = float("-inf")
        self.asked_at = float("-inf")
        self.unanswered_since: float | None = None
        self.next_at = float("-inf")
        self.share: requests.TokenSchedule | None = None

    def set_limit(
        self, limit_per_s: float, cold: requests.ColdLimit | None
    ) -> None:
        """Change the limit.

        Tokens lent before the target became cold are dropped: there may be
        more of them than it takes now.
        """
        self.limit_per_s = limit_per_s
        if cold != self.cold:
            self.cold = cold
            self.expiries = []
            self.share = None
            self.ask_again_at = float("-inf")

    @property
    def lifetime_s(self) -> float:
        """Time in which a lent token must be used."""
        if self.cold is None:
            return requests.TOKEN_LIFETIME_S
        return requests.COLD_LIFETIME_S

    def record_asked(self) -> None:
        """Record that a token was asked for."""
        self.asked_at = time.monotonic()
        self.ask_again_at = self.asked_at + MIN_REPEAT_S
        if self.unanswered_since is None:
            self.unanswered_since = self.asked_at

    def record_answer(
        self,
        granted: bool,
        next_in_s: float,
        *,
        lifetime_s: float = requests.TOKEN_LIFETIME_S,
        lent_ms: int = 0,
    ) -> None:
        """Record an agent's answer.

        Parameters
        ----------
        lifetime_s, lent_ms
            Time for which a granted token is valid, and the uptime of this
            host from which it counts; 0 if the agent does not say. An answer
            that was under way for longer counts as none: an entry behind a
            congested link would get no usable token.
        """
        now = time.monotonic()
        lent_at = uptime.now_s()
        if lent_ms:
            lent_at = min(lent_at, lent_ms / MS_PER_S)
        expires_at = lent_at + min(lifetime_s, self.lifetime_s)
        if uptime.now_s() >= expires_at:
            return
        self.unanswered_since = None
        self.share = None
        self.next_at = now + next_in_s
        if granted:
            self.ask_again_at = now
            self.expiries.append(expires_at)
            return
        min_repeat_s = MIN_REPEAT_S if self.cold is None else COLD_MIN_REPEAT_S
        self.ask_again_at = now + min(
            max(next_in_s / 2, min_repeat_s), MAX_REPEAT_S
        )

    def use_share(self, entries: int) -> None:
        """Use an equal share of the limit, as no agent answers."""
        now = uptime.now_s()
        rate_per_s = self.limit_per_s / max(entries, 1)
        if self.cold is not None:
            rate_per_s = self._use_cold_share(entries, now, rate_per_s)
        elif self.share is None:
            self.share = requests.TokenSchedule(
                rate_per_s=rate_per_s, now=now, keeps_phase=True
            )
        if self.share is None:
            self.next_at = time.monotonic() + MAX_REPEAT_S
            return
        self.share.set_rate(rate_per_s, now)
        self.next_at = time.monotonic() + self.share.next_in_s(now)

    def _use_cold_share(
        self, entries: int, now: float, max_rate_per_s: float
    ) -> float:
        """Start the share of a cold target's limit; return its rate."""
        # Without an agent to ask there are no lent tokens either.
        delay_s = SHARE_DELAY_S if self.has_no_agent else 0.0
        made = requests.cold_share(
            self.cold, entries, now + delay_s, max_rate_per_s
        )
        if made is None:
            self.share = None
            return 0.0
        if self.share is None or self.share.keeps_phase != made.keeps_phase:
            self.share = made
        return 1.0 / made.interval_s

    @property
    def has_no_agent(self) -> bool:
        """Whether an agent has not answered for some time."""
        return self.unanswered_since is not None and (
            time.monotonic() > self.unanswered_since + ANSWER_TIMEOUT_S
        )

    @property
    def awaits_answer(self) -> bool:
        """Whether the last request has no answer yet."""
        return self.unanswered_since is not None

    @property
    def count(self) -> int:
        """Number of requests that may be sent now."""
        now = uptime.now_s()
        if self.expiries:
            left_s = 0.0 if self.cold is None else MIN_LEFT_S
            self.expiries = [at for at in self.expiries if at > now + left_s]
        own = self.share.count(now) if self.share is not None else 0
        return len(self.expiries) + own

    def take(self) -> None:
        """Use a token for a request, if there is one."""
        if not self.count:
            return
        if self.expiries:
            self.taken_until = self.expiries.pop(0)
        else:
            now = uptime.now_s()
            self.share.take(now)
            self.taken_until = now + requests.SHARE_LIFETIME_S

    @property
    def next_in_s(self) -> float:
        """Time until the next token; 0 if there is one or it is unknown."""
        if self.count:
            return 0.0
        return max(0.0, self.next_at - time.monotonic())
