"""When to bring which version, and when to switch. Plain decisions, no I/O.

Load it answers: versions that are named faster than they can be brought,
and all targets of a service switching at once.
"""

from collections.abc import Collection
from collections.abc import Mapping

from zinniadyke import ids

# Kept back from the bound: reading back, the order and the load itself.
SWITCH_MARGIN_S = 0.8
# Targets switch one after the other over this time at least, and longer if
# the pieces are there sooner; each is out for the load of some 0.3 s.
MIN_SWITCH_WINDOW_S = 1.8
MAX_SWITCH_GAP_S = 0.35
# Transfers in a swarm take this much longer than the downlink alone allows,
# as less of the uplinks is free for weights.
SWARM_SLOWDOWN = 1.25
# Entries stop using older weights this long before the bound.
ENTRY_MARGIN_S = 0.5
# Reading back, the order and the load itself.
LOAD_TIME_S = 0.45


def choose_version(
    named_at: Mapping[ids.WeightsVersion, float],
    held_version: int,
    complete: Collection[int],
    *,
    now: float,
    bound_s: float,
    lead_time_s: float,
) -> ids.WeightsVersion:
    """Return the version to fetch next.

    The newest, unless bringing an older one first leaves the target out of
    service for less time.

    Parameters
    ----------
    named_at
        Monotonic time at which each version was named, in seconds; not
        empty.
    held
        Version that the target holds; 0 if none.
    whole
        Versions whose pieces are all here already.
    bring_s
        Time from naming a version until it can be loaded, in seconds.
    """
    newest = max(named_at)
    if not held_version or held_version >= newest:
        return newest
    for version in sorted(named_at):
        if version <= held_version or version in complete or version == newest:
            continue
        due = named_at[version] + bound_s
        if now >= due:
            continue
        gap_if_dropped_s = named_at[newest] + lead_time_s - due
        ready = named_at[version] + lead_time_s
        newest_ready = max(ready, named_at[newest]) + lead_time_s
        newest_due = named_at[newest] + bound_s
        gap_if_finished_s = max(0.0, ready - due) + max(
            0.0, newest_ready - newest_due
        )
        if gap_if_finished_s < gap_if_dropped_s:
            return version
    return newest


def switch_at(
    named_at: float,
    *,
    bound_s: float,
    lead_time_s: float,
    position: int,
    count: int,
) -> float:
    """Return when a target shall switch to a version, monotonic seconds.

    Parameters
    ----------
    bring_s
        Time from naming a version until it can be loaded, in seconds.
    place
        The target's place among the ``count`` targets of its service.
    """
    latest = named_at + bound_s - SWITCH_MARGIN_S
    if count < 2:
        return latest
    spare_s = bound_s - SWITCH_MARGIN_S - lead_time_s
    window_s = min(
        max(MIN_SWITCH_WINDOW_S, spare_s), MAX_SWITCH_GAP_S * (count - 1)
    )
    return latest - window_s * (count - 1 - position) / (count - 1)
