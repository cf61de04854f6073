"""Chooses the target of a request, without I/O.

Entries learn of one another's requests only from load reports that are about
100 ms old. Each entry therefore adds its own requests to the reported load
and prefers the least loaded target, with penalties for other zones and
regions.
"""

from collections.abc import Callable, Iterable
import random
import time

from zinniadyke.gateway import _predicted_time
from zinniadyke.gateway import _request_work
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
# Penalty, in requests, of a target whose memory a request may exceed, above
# all others: it gets the request only if no other may.
NO_MEMORY_LOAD = 1e6
# Predicted time to the first event that counts as much as one request.
PREDICTED_S_PER_REQUEST = 0.02
# Shorter delays are usual.
MIN_LINK_DELAY_S = 0.1

# Maps a target, its load and the slowness of its host to a penalty.
SlownessLoad = Callable[[_target_state.TargetState, int, float], float]


def choose_target(
    candidates: Iterable[_target_state.TargetState],
    zone_penalty: Callable[[str], float],
    has_free_slot: Callable[[_target_state.TargetState], bool],
    *,
    mean_response_s: float,
    work: _request_work.RequestWork = _request_work.UNKNOWN_WORK,
    predicts_all: bool = False,
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
    work
        Tokens of the request and the arithmetic of the engines.
    predicts_all
        Whether the times of engines without figures of their host are
        predicted too; their slowness counts as usual.
    """
    now = time.monotonic()
    best, best_cost = None, float("inf")
    host_load = None
    for state in candidates:
        if not has_free_slot(state):
            continue
        load = state.load
        cost = load + zone_penalty(state.target.zone)
        remaining_s = state.switches_at - now
        if remaining_s < mean_response_s:
            cost += INTERRUPTED_STREAM_LOAD * _interruption_probability(
                remaining_s, mean_response_s
            )
        cost += _link_load(state)
        if state.host is not None or predicts_all:
            host_load = host_load or _host_load(work, now, predicts_all)
            cost += host_load(state, load)
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


def _host_load(
    work: _request_work.RequestWork, now: float, predicts_all: bool
) -> Callable[[_target_state.TargetState, int], float]:
    """Return what maps a target and its load to a penalty.

    The penalty is for a slow host and for too little memory.
    """
    penalty = slowness_load(work)

    def host_load(state: _target_state.TargetState, load: int) -> float:
        figures = state.ensure_host_figures()
        total = 0.0
        if figures.slowness is None:
            if predicts_all:
                total = penalty(state, load, 1.0)
        else:
            total = penalty(state, load, figures.slowness.factor(now))
        if figures.kv_memory is not None:
            free_tokens = figures.kv_memory.free_tokens(now)
            if free_tokens is not None and work.kv_tokens > free_tokens:
                total += NO_MEMORY_LOAD
        return total

    return host_load


def slowness_load(work: _request_work.RequestWork) -> SlownessLoad:
    """Return what replaces the count of requests at targets, less the count.

    For plain services, it is the count with this request times the slowness.
    For engines, it is the predicted time to the first event. There, a usual
    target that is half full costs as much as by its count, so that costs
    remain comparable with those of targets that do not report their slowness.

    Load: hosts that are slow for some hundred milliseconds at a time, and
    entries that all see the same idle target in reports, whose prompts would
    then delay one another.
    """
    if work.engine is None:
        return lambda state, load, slowness: (load + 1) * (slowness - 1.0)
    predict = _predicted_time.predict_first_event(work)
    usual_s: dict[int, float] = {}

    def engine_load(
        state: _target_state.TargetState, load: int, slowness: float
    ) -> float:
        slots = state.target.slots
        if slots not in usual_s:
            usual_s[slots] = predict(slots / 2, 0, 1.0)
        pending = state.host.pending
        later_s = (
            predict(max(load - pending, 0), pending, slowness) - usual_s[slots]
        )
        return slots / 2 + later_s / PREDICTED_S_PER_REQUEST - load

    return engine_load


def predict_first_event_s(
    state: _target_state.TargetState, work: _request_work.RequestWork
) -> float | None:
    """Return the predicted time to an engine's first event, in seconds.

    None if the target does not report its slowness or runs no model.
    """
    if state.slowness is None or work.engine is None:
        return None
    pending = state.host.pending
    return _predicted_time.predict_first_event(work)(
        max(state.load - pending, 0),
        pending,
        state.slowness.factor(time.monotonic()),
    )


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
