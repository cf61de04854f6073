"""Rates at which entries send requests to a cold target; does no I/O."""

import math

import msgspec

from zinniadyke.requests import _token_schedule

WINDOW_S = 1.0
# Time in which a token for a cold target must be used after it falls due. A
# second then has the requests of at most this and a second's tokens.
COLD_LIFETIME_S = 0.25
# Time in which a request is sent after it has used its entry's own share.
SHARE_LIFETIME_S = 0.1
# Keeps a whole number of intervals from fitting into the time exactly.
RATE_MARGIN = 0.999
# Part of the shares' rate that is used if an entry has less than one request
# a second: random phases put more than twice the mean of 8 into one second
# in about one of 10,000 seconds.
RANDOM_PHASE_PART = 0.4


class ColdLimit(msgspec.Struct, frozen=True, kw_only=True):
    """How many requests a service's cold targets get.

    Attributes
    ----------
    per_s
        Requests in any second from all entries that an agent lends tokens.
    shares_per_s
        Requests in any second from all entries that no agent answers,
        beyond those with lent tokens.
    restart_s
        Time for which a target is cold after a restart.
    """

    per_s: float
    shares_per_s: float
    restart_s: float

    @property
    def rate_per_s(self) -> float:
        """Rate of lent tokens that keeps ``per_s`` in any second.

        Load: a cold target, which crashes if entries save up requests. Tokens
        used in one second fell due within it or the lifetime before it.
        """
        return _rate_within(self.per_s, COLD_LIFETIME_S)


def make_cold_limit(
    *, cold_per_s: float, cold_s: float, overage: float, slack: float
) -> ColdLimit | None:
    """Return the limit of a service's cold targets; None if it has none.

    Parameters
    ----------
    cold_per_s, cold_s
        Of the service's configuration.
    overage, slack
        The operators' bound in any second is ``cold_per_s * overage +
        slack``. Lent tokens keep ``cold_per_s``. The rest is left to entries
        that no agent answers, as the others do not know their number.
    """
    if cold_per_s <= 0 or (overage <= 0 and slack <= 0):
        return None
    allowed = cold_per_s * overage + slack
    per_s = min(cold_per_s, allowed)
    return ColdLimit(
        per_s=per_s,
        shares_per_s=min(allowed - per_s, per_s),
        restart_s=cold_s,
    )


def cold_share(
    limit: ColdLimit, entries: int, start_at: float, max_rate_per_s: float
) -> _token_schedule.TokenSchedule | None:
    """Return an entry's share of a cold target's limit; None if it has none.

    Load: entries that are cut off from the target's agent, and agents that
    die while their targets are cold. Up to one request a second and entry,
    shares keep the limit whatever the entries' phases; below, on average.

    Parameters
    ----------
    start_at
        Time of the first token, by the clock that is used for the schedule.
    max_rate_per_s
        Rate that the share of another limit allows.
    """
    entries = max(entries, 1)
    if limit.shares_per_s <= 0:
        return None
    whole = math.floor(limit.shares_per_s / entries)
    if whole:
        rate_per_s = _rate_within(whole, SHARE_LIFETIME_S)
    else:
        rate_per_s = limit.shares_per_s * RANDOM_PHASE_PART / entries
    return _token_schedule.TokenSchedule(
        rate_per_s=min(rate_per_s, max_rate_per_s),
        now=start_at,
        keeps_phase=not whole,
        lifetime_s=0.0 if whole else COLD_LIFETIME_S,
    )


def _rate_within(per_s: float, lifetime_s: float) -> float:
    """Return the rate of tokens of which ``per_s`` fall into a window.

    The window is a second and the lifetime before it.
    """
    whole = math.floor(per_s) if per_s >= 1 else per_s
    return whole * RATE_MARGIN / (WINDOW_S + lifetime_s)
