"""Chooses the target of a request, without I/O.

Entries learn of one another's requests only from load reports that are about
100 ms old. Each entry therefore adds its own requests to the reported load
and prefers the least loaded target, with penalties for other zones and
regions.
"""

from collections.abc import Callable, Iterable
import random
import time

from zinniadyke.gateway import _target_state

# Penalties as a number of requests in flight. Traffic between regions is
# expensive and adds 1.8 ms.
OTHER_ZONE_PENALTY = 0.3
OTHER_REGION_PENALTY = 1.0
# Penalty, in requests, of interrupting a stream: it resumes on another target,
# which processes the prompt again, and the caller sees a long pause.
INTERRUPTED_STREAM_LOAD = 8.0
# Penalty, in requests, of a target whose agent is silent: it may be
# down, but its slots are used when there are no others.
SILENT_TARGET_LOAD = 6.0
# Penalty, in requests, of each second that reports wait in a target's link;
# requests and events wait there as long.
LINK_DELAY_LOAD_PER_S = 10.0
# Shorter delays are usual.
MIN_LINK_DELAY_S = 0.1


def choose_target(
    candidates: Iterable[_target_state.TargetState],
    zone_penalty: Callable[[str], float],
    has_free_slot: Callable[[_target_state.TargetState], bool],
    *,
    mean_response_s: float,
) -> _target_state.TargetState | None:
    """Return the target with the lowest cost, or None if all are full.

    Parameters
    ----------
    zone_penalty
        Returns the penalty for sending a request to an availability zone,
        as a number of requests in flight.
    has_free_slot
        Returns whether a target can accept the request now.
    mean_response_s
        Mean time of a complete response, in seconds. A target that
        switches weights sooner is likely to interrupt the response.
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
        cost += _link_load(state)
        cost += random.random() * 0.5
        if cost < best_cost:
            best, best_cost = state, cost
    return best


def _link_load(state: _target_state.TargetState) -> float:
    """Return the penalty of a link that is cut off or congested.

    Load: links that narrow, so that requests reach a target seconds late or
    when their callers have left, and targets that crash under requests.
    """
    if state.silent:
        return SILENT_TARGET_LOAD
    delay_s = state.report_delay.delay_s
    if delay_s < MIN_LINK_DELAY_S:
        return 0.0
    return LINK_DELAY_LOAD_PER_S * delay_s


def _interruption_probability(
    remaining_s: float, mean_response_s: float
) -> float:
    """Return the probability that a weights switch interrupts a response.

    Parameters
    ----------
    remaining_s
        Time until the switch, in seconds.
    """
    if remaining_s >= mean_response_s:
        return 0.0
    return 1.0 - max(remaining_s, 0.0) / mean_response_s


def zone_penalties(
    zone: str, regions: dict[str, str]
) -> Callable[[str], float]:
    """Return a function that maps a zone to its penalty from ``zone``.

    Parameters
    ----------
    regions
        Region of each availability zone.
    """

    def zone_penalty(other: str) -> float:
        if other == zone:
            return 0.0
        if regions.get(other) == regions.get(zone):
            return OTHER_ZONE_PENALTY
        return OTHER_REGION_PENALTY

    return zone_penalty
