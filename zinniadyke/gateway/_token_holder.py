"""An entry's tokens for requests to a target that limits them."""

import time

from zinniadyke import requests

# Time in which an agent answers; without an answer the entry uses its own
# share of the limit.
ANSWER_TIMEOUT_S = 0.3
# Shortest and longest time between requests for a token; half of the wait that
# the agent tells lies between them.
MIN_REPEAT_S = 0.1
MAX_REPEAT_S = 0.5


class TokenHolder:
    """Holds the tokens that an agent lends, and a share without an agent.

    One agent lends the tokens of a target to all entries, so that together
    they keep the limit, and the entry with most requests gets most of them.
    While no agent answers, each entry uses an equal share.

    Parameters
    ----------
    limit_per_s
        Requests a second that the target takes from all entries together.

    Attributes
    ----------
    expiries
        Monotonic times at which the lent tokens expire.
    ask_again_at
        Monotonic time of the next request for a token, if one is wanted.
    unanswered_since
        Monotonic time of the first request without an answer; None if all
        were answered.
    next_at
        Monotonic time of the next token, as an agent or the share tells.
    """

    def __init__(self, *, limit_per_s: float) -> None:
        """Start without tokens."""
        self.limit_per_s = limit_per_s
        self.expiries: list[float] = []
        self.ask_again_at = float("-inf")
        self.unanswered_since: float | None = None
        self.next_at = float("-inf")
        self.share: requests.TokenSchedule | None = None

    def record_asked(self) -> None:
        """Record that a token was asked for."""
        now = time.monotonic()
        self.ask_again_at = now + MIN_REPEAT_S
        if self.unanswered_since is None:
            self.unanswered_since = now

    def record_answer(self, granted: bool, next_in_s: float) -> None:
        """Record an agent's answer."""
        now = time.monotonic()
        self.unanswered_since = None
        self.share = None
        self.next_at = now + next_in_s
        if granted:
            self.ask_again_at = now
            self.expiries.append(now + requests.TOKEN_LIFETIME_S)
        else:
            self.ask_again_at = now + min(
                max(next_in_s / 2, MIN_REPEAT_S), MAX_REPEAT_S
            )

    def use_share(self, entries: int) -> None:
        """Use an equal share of the limit, as no agent answers."""
        now = time.monotonic()
        rate_per_s = self.limit_per_s / max(entries, 1)
        if self.share is None:
            self.share = requests.TokenSchedule(
                rate_per_s=rate_per_s, now=now, keeps_phase=True
            )
        else:
            self.share.set_rate(rate_per_s, now)
        self.next_at = now + self.share.next_in_s(now)

    @property
    def has_no_agent(self) -> bool:
        """Whether an agent has not answered for some time."""
        return self.unanswered_since is not None and (
            time.monotonic() > self.unanswered_since + ANSWER_TIMEOUT_S
        )

    @property
    def count(self) -> int:
        """Number of requests that may be sent now."""
        now = time.monotonic()
        self.expiries = [at for at in self.expiries if at > now]
        own = self.share.count(now) if self.share is not None else 0
        return len(self.expiries) + own

    def take(self) -> None:
        """Use a token for a request, if there is one."""
        if not self.count:
            return
        if self.expiries:
            self.expiries.pop(0)
        else:
            self.share.take(time.monotonic())

    @property
    def next_in_s(self) -> float:
        """Time until the next token; 0 if there is one or it is unknown."""
        if self.count:
            return 0.0
        return max(0.0, self.next_at - time.monotonic())
