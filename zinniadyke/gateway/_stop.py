"""What an entry that is stopped still begins."""

import collections

from zinniadyke import directory

# Part of the time that is left which a request that may be repeated may be
# expected to take; some take longer than the recent ones.
EXPECTED_SHARE = 0.5
# Number of recent times that are kept for each route.
TIMES_PER_ROUTE = 50


def may_begin(
    *,
    left_s: float,
    latest_end_s: float,
    expected_s: float,
    retry_mode: directory.RetryMode,
) -> bool:
    """Whether a request may begin at an entry that is being stopped.

    Load: callers on kept connections, and those that the load balancer still
    sends, ask until the entry is gone. What does not end before it is cut
    off, so a request that must not run twice needs a certain end. One that
    may be repeated or resumed elsewhere begins if it usually ends in time.

    Parameters
    ----------
    left_s
        Time until the entry ends, in seconds.
    latest_end_s
        Time in which the request is answered at the latest, in seconds: the
        deadline of its caller or the timeout of its route.
    expected_s
        Time that such requests have taken lately, in seconds.
    """
    if latest_end_s <= left_s:
        return True
    if retry_mode is directory.RetryMode.NEVER:
        return False
    return expected_s <= EXPECTED_SHARE * left_s


class RecentTimes:
    """Times that the latest requests of each route took."""

    def __init__(self) -> None:
        """Start without times."""
        self.by_route: dict[str, collections.deque[float]] = {}

    def record(self, route: directory.Route, took_s: float) -> None:
        """Record the time of a request that was answered, in seconds."""
        times = self.by_route.get(route.name)
        if times is None:
            times = collections.deque(maxlen=TIMES_PER_ROUTE)
            self.by_route[route.name] = times
        times.append(took_s)

    def forget_others(self, routes: set[str]) -> None:
        """Drop the times of all routes but those with these names."""
        for name in self.by_route.keys() - routes:
            del self.by_route[name]

    def longest_s(self, route: directory.Route) -> float:
        """Return the longest recent time, in seconds.

        The objective of the route stands for it before the first request.
        """
        times = self.by_route.get(route.name)
        return max(times) if times else route.objective_s
