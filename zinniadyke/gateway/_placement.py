"""Chooses the target of a request. Plain decisions, no I/O.

Load it answers: several entries place at once and see one another's requests
only in reports some 100 ms old, so each counts its own requests at once and
the least loaded target of the own region goes first.
"""

from collections.abc import Callable, Iterable
import random
import time

from zinniadyke.gateway import _target_state

# Requests at a target that equal one more link to cross: bytes between
# regions are dear and 1.8 ms away.
OTHER_ZONE_PENALTY = 0.3
OTHER_REGION_PENALTY = 1.0
# Requests at a target that equal a stream that is cut and goes on elsewhere:
# its prompt is read again, and its caller sees a long pause.
INTERRUPTED_STREAM_LOAD = 8.0


def choose_target(
    candidates: Iterable[_target_state.TargetState],
    zone_penalty: Callable[[str], float],
    has_free_slot: Callable[[_target_state.TargetState], bool],
    *,
    mean_response_s: float,
) -> _target_state.TargetState | None:
    """Return the best target, or None when all are full.

    Parameters
    ----------
    zone_penalty
        Returns the load that reaching an availability zone is worth.
    has_free_slot
        Returns whether a target may get the request now.
    mean_response_s
        Time that an answer takes, in seconds; a target that changes its
        weights before then likely cuts it.
    """
    now = time.monotonic()
    best, best_cost = None, float("inf")
    for state in candidates:
        if not has_free_slot(state):
            continue
        cost = state.load + zone_penalty(state.target.zone)
        cost += INTERRUPTED_STREAM_LOAD * _interruption_probability(
            state.switches_at - now, mean_response_s
        )
        cost += random.random() * 0.5
        if cost < best_cost:
            best, best_cost = state, cost
    return best


def _interruption_probability(
    remaining_s: float, mean_response_s: float
) -> float:
    """Return how likely an answer lasts until its target is taken away."""
    if remaining_s >= mean_response_s:
        return 0.0
    return 1.0 - max(remaining_s, 0.0) / mean_response_s


def zone_penalties(
    zone: str, regions: dict[str, str]
) -> Callable[[str], float]:
    """Return the zone_penalty of each availability zone from ``zone``."""

    def zone_penalty(other: str) -> float:
        if other == zone:
            return 0.0
        if regions.get(other) == regions.get(zone):
            return OTHER_ZONE_PENALTY
        return OTHER_REGION_PENALTY

    return zone_penalty
