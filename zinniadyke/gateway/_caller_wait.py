"""Estimates how long callers have waited before the current request."""

import collections

# Number of recent deadlines kept for each route.
DEADLINES_PER_ROUTE = 100
# With fewer deadlines the initial one is not known reliably.
MIN_DEADLINES = 20
# The longest deadline is the initial one only if at least this part of the
# requests has it; otherwise callers choose different deadlines.
INITIAL_DEADLINE_MIN_SHARE = 0.2
# A shorter deadline on more than this part of the requests is an initial one
# of other callers.
COMMON_DEADLINE_SHARE = 0.05
# Callers send deadlines in whole milliseconds.
DEADLINE_DECIMALS = 3


class CallerWaitEstimator:
    """Estimates earlier waits from the deadlines of each route.

    A caller that was rejected retries with the rest of its deadline, under
    another request id. If first requests have the same deadline, a shorter
    one reveals how long its caller has already waited.

    Under overload, slots then go to callers that can still get a response
    within the objective, and not to those that have waited too long for it.
    """

    def __init__(self) -> None:
        """Start without recorded deadlines."""
        self.deadlines_by_route: dict[str, collections.deque[float]] = {}

    def forget_others(self, routes: set[str]) -> None:
        """Drop the deadlines of all routes but those with these names."""
        for name in self.deadlines_by_route.keys() - routes:
            del self.deadlines_by_route[name]

    def waited_s(self, route: str, deadline_s: float) -> float:
        """Record a deadline; return the caller's earlier wait in seconds."""
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
