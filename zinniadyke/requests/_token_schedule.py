"""Times at which requests under a rate limit may be sent; does no I/O."""

import math
import random

# An unused token expires after this time, so that tokens of a quiet time are
# not all used at once.
TOKEN_LIFETIME_S = 1.0


class TokenSchedule:
    """Tokens that fall due at a steady rate and expire if they are not used.

    Load: more requests than a target takes from all entries together.

    Parameters
    ----------
    rate_per_s
        Tokens a second.
    now
        Monotonic time in seconds, as in all methods.
    keeps_phase
        Whether the times at which tokens fall due are fixed from the start,
        at a random offset. Schedules of entries that share a rate then do not
        fall due together after a quiet time. Otherwise a token is due at
        once after a quiet time.
    lifetime_s
        Time after which an unused token expires. With 0, tokens are at least
        an interval apart.

    Attributes
    ----------
    due_at
        Time at which the oldest unused token fell or falls due.
    """

    def __init__(
        self,
        *,
        rate_per_s: float,
        now: float,
        keeps_phase: bool,
        lifetime_s: float = TOKEN_LIFETIME_S,
    ) -> None:
        """Start with no token, or with one if the phase is not kept."""
        self.interval_s = 1.0 / rate_per_s
        self.keeps_phase = keeps_phase
        self.lifetime_s = lifetime_s
        self.due_at = now
        if keeps_phase:
            self.due_at += random.random() * self.interval_s

    def set_rate(self, rate_per_s: float, now: float) -> None:
        """Change the rate; what is left of an interval changes with it."""
        interval_s = 1.0 / rate_per_s
        self.due_at = now + (self.due_at - now) * interval_s / self.interval_s
        self.interval_s = interval_s
        self._expire(now)

    def age_s(self, now: float) -> float:
        """Return the time since the oldest unused token fell due."""
        self._expire(now)
        return max(0.0, now - self.due_at)

    def count(self, now: float) -> int:
        """Return the number of tokens that may be taken now."""
        self._expire(now)
        if self.due_at > now:
            return 0
        return int((now - self.due_at) / self.interval_s) + 1

    def take(self, now: float) -> bool:
        """Take a token; return False if there is none."""
        self._expire(now)
        if self.due_at > now:
            return False
        self.due_at += self.interval_s
        return True

    def next_in_s(self, now: float) -> float:
        """Return the time until there is a token; 0 if there is one."""
        self._expire(now)
        return max(0.0, self.due_at - now)

    def _expire(self, now: float) -> None:
        late_s = now - self.due_at - self.lifetime_s
        if late_s <= 0:
            return
        if self.keeps_phase:
            late_s = math.ceil(late_s / self.interval_s) * self.interval_s
        self.due_at += late_s
