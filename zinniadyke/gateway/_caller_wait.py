"""How long callers have been waiting before this try of theirs."""

import collections

# Deadlines that are remembered of each route.
DEADLINES_PER_ROUTE = 100
# Fewer deadlines than this tell nothing.
MIN_DEADLINES = 20
# Part of a route's callers that begin with the longest deadline, at least;
# below it callers differ by themselves.
INITIAL_DEADLINE_MIN_SHARE = 0.2
# A shorter deadline that this part of the callers share is one of its own.
COMMON_DEADLINE_SHARE = 0.05
# Deadlines are rounded_s in whole milliseconds.
DEADLINE_DECIMALS = 3


class CallerWaitEstimator:
    """The deadlines that the callers of each route begin with.

    A caller that was refused comes back with what is left of its deadline,
    under another request id. Where first tries share one deadline, a
    shorter one tells how long its caller has waited.

    Load it answers: more requests than the engines can run. Who has waited
    too long for an answer in time leaves the places to those who have not.
    """

    def __init__(self) -> None:
        """Remember nothing."""
        self.deadlines_by_route: dict[str, collections.deque[float]] = {}

    def waited_s(self, route: str, deadline_s: float) -> float:
        """Remember a deadline; return the time since the first try, in s."""
        rounded_s = round(deadline_s, DEADLINE_DECIMALS)
        recent = self.deadlines_by_route.setdefault(
            route, collections.deque(maxlen=DEADLINES_PER_ROUTE)
        )
        recent.append(rounded_s)
        initial_s = max(recent)
        if rounded_s == initial_s or len(recent) < MIN_DEADLINES:
            return 0.0
        if recent.count(initial_s) < INITIAL_DEADLINE_MIN_SHARE * len(recent):
            return 0.0
        if recent.count(rounded_s) > COMMON_DEADLINE_SHARE * len(recent):
            return 0.0
        return initial_s - rounded_s
