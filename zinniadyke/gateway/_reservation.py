"""Parts of a target's free slots, without I/O."""

from collections.abc import Mapping

# Free slots become known to other entries with the next load report.
REPORT_INTERVAL_S = 0.1
# The rest of the free slots is shared equally, so that an entry whose
# requests are not yet in the reported demand has a chance of a slot.
PART_BY_DEMAND = 0.8


def reserved_slots(
    demand: Mapping[int, float],
    priority: int,
    *,
    slots: int,
    mean_response_s: float,
) -> float:
    """Return the slots that requests of a route leave free at a target.

    Load: less urgent requests that take every slot as it becomes free, so
    that urgent ones find none when they arrive. The slots are those that
    more urgent arrivals need until the next one becomes free; without such
    arrivals it is 0.

    Parameters
    ----------
    demand
        Arrivals a second for the target at all entries, by priority of
        their route.
    priority
        Priority of the requests' route.
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


def slot_part(
    own: Mapping[int, float], demand: Mapping[int, float], entries: int
) -> float | None:
    """Return the part of a target's free slots that an entry may use.

    Load: entries with much demand beside others with little, which leave
    their equal parts unused until the next report. The parts of all entries
    add up to 1.

    Parameters
    ----------
    own, demand
        Arrivals a second for the target at this entry and at all, by
        priority of their route.
    entries
        Number of entries that use the target.

    Returns
    -------
    float | None
        None for an equal part: fewer than two priorities are in use.
    """
    if len(demand) < 2:
        return None
    by_demand = min(sum(own.values()) / sum(demand.values()), 1.0)
    return PART_BY_DEMAND * by_demand + (1 - PART_BY_DEMAND) / max(entries, 1)
