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
SWITCH_WINDOW_S = 1.8
SWITCH_GAP_S = 0.35
# Transfers in a swarm take this much longer than the downlink alone allows,
# as less of the uplinks is free for weights.
SWARM_FACTOR = 1.25
# Entries stop using older weights this long before the bound.
ENTRY_MARGIN_S = 0.5
# Reading back, the order and the load itself.
LOAD_S = 0.45


def choose_version(
    desired_since: Mapping[ids.WeightsVersion, float],
    held: int,
    whole: Collection[int],
    *,
    now: float,
    bound_s: float,
    bring_s: float,
) -> ids.WeightsVersion:
    """Return the version to fetch next.

    The newest, unless bringing an older one first leaves the target out of
    service for less time.

    Parameters
    ----------
    desired_since
        Monotonic time at which each version was named, in seconds; not
        empty.
    held
        Version that the target holds; 0 if none.
    whole
        Versions whose pieces are all here already.
    bring_s
        Time from naming a version until it can be loaded, in seconds.
    """
    newest = max(desired_since)
    if not held or held >= newest:
        return newest
    for version in sorted(desired_since):
        if version <= held or version in whole or version == newest:
            continue
        due = desired_since[version] + bound_s
        if now >= due:
            continue
        out_if_dropped = desired_since[newest] + bring_s - due
        ready = desired_since[version] + bring_s
        newest_ready = max(ready, desired_since[newest]) + bring_s
        newest_due = desired_since[newest] + bound_s
        out_if_finished = max(0.0, ready - due) + max(
            0.0, newest_ready - newest_due
        )
        if out_if_finished < out_if_dropped:
            return version
    return newest


def switch_at(
    desired_since: float,
    *,
    bound_s: float,
    bring_s: float,
    place: int,
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
    latest = desired_since + bound_s - SWITCH_MARGIN_S
    if count < 2:
        return latest
    free_s = bound_s - SWITCH_MARGIN_S - bring_s
    window_s = min(max(SWITCH_WINDOW_S, free_s), SWITCH_GAP_S * (count - 1))
    return latest - window_s * (count - 1 - place) / (count - 1)
