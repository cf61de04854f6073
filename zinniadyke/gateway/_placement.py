"""Chooses the target of a request. Plain decisions, no I/O.

Load it answers: several entries place at once and see one another's requests
only in reports some 100 ms old, so each counts its own requests at once and
the least loaded target of the own region goes first.
"""

from collections.abc import Callable, Iterable
import random

from zinniadyke.gateway import _target_state

# Requests at a target that equal one more link to cross: bytes between
# regions are dear and 1.8 ms away.
OTHER_ZONE_LOAD = 0.3
OTHER_REGION_LOAD = 1.0


def choose(
    candidates: Iterable[_target_state.TargetState],
    distance: Callable[[str], float],
    has_place: Callable[[_target_state.TargetState], bool],
) -> _target_state.TargetState | None:
    """Return the best target, or None when all are full.

    Parameters
    ----------
    distance
        Returns the load that reaching an availability zone is worth.
    has_place
        Returns whether a target may get the request now.
    """
    best, best_cost = None, float("inf")
    for state in candidates:
        if not has_place(state):
            continue
        cost = state.load + distance(state.target.zone) + random.random() * 0.5
        if cost < best_cost:
            best, best_cost = state, cost
    return best


def distances(zone: str, regions: dict[str, str]) -> Callable[[str], float]:
    """Return the distance of each availability zone from ``zone``."""

    def distance(other: str) -> float:
        if other == zone:
            return 0.0
        if regions.get(other) == regions.get(zone):
            return OTHER_ZONE_LOAD
        return OTHER_REGION_LOAD

    return distance
