"""Slots that requests leave free for more urgent arrivals, without I/O."""

from collections.abc import Mapping

# Free slots become known to other entries with the next load report.
REPORT_INTERVAL_S = 0.1


def reserved_slots(
    demand: Mapping[int, float],
    priority: int,
    *,
    slots: int,
    mean_response_s: float,
) -> float:
    """Return the slots that a request of a route leaves free at a target.

    Load: less urgent requests that take every slot as it becomes free, so
    that urgent ones find none when they arrive. The slots are those that
    more urgent arrivals need until the next one becomes free; without such
    arrivals it is 0.

    Parameters
    ----------
    demand
        Arrivals a second for the target, by priority of their route.
    priority
        Priority of the request's route.
    slots
        Slots of the target.
    mean_response_s
        Mean time of a complete response, in seconds.
    """
    more_urgent_per_s = sum(
        per_s for other, per_s in demand.items() if other < priority
    )
    return more_urgent_per_s * (
        REPORT_INTERVAL_S + mean_response_s / max(slots, 1)
    )
