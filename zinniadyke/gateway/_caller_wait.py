"""How long callers have been waiting before this try of theirs."""

import collections

# Deadlines that are remembered of each route.
REMEMBERED = 100
# Fewer deadlines than this tell nothing.
FEWEST_SEEN = 20
# Part of a route's callers that begin with the longest deadline, at least;
# below it callers differ by themselves.
USUAL_SHARE = 0.2
# A shorter deadline that this part of the callers share is one of its own.
SHARED_SHARE = 0.05
# Deadlines are told in whole milliseconds.
DIGITS = 3


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
        self.seen: dict[str, collections.deque[float]] = {}

    def waited_s(self, route: str, deadline_s: float) -> float:
        """Remember a deadline; return the time since the first try, in s."""
        told = round(deadline_s, DIGITS)
        recent = self.seen.setdefault(
            route, collections.deque(maxlen=REMEMBERED)
        )
        recent.append(told)
        usual = max(recent)
        if told == usual or len(recent) < FEWEST_SEEN:
            return 0.0
        if recent.count(usual) < USUAL_SHARE * len(recent):
            return 0.0
        if recent.count(told) > SHARED_SHARE * len(recent):
            return 0.0
        return usual - told
