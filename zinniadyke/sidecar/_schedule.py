"""Selects the version to fetch and the time to switch; does no I/O.

Versions may be named faster than they can be fetched, and the targets of a
service must not all switch at once.
"""

from collections.abc import Collection
from collections.abc import Mapping

from zinniadyke import ids

# The last target switches this long before the bound, to leave time for
# reading back, the order and the load.
SWITCH_MARGIN_S = 0.8
# Minimum time over which the targets of a service switch in turn; longer
# if the pieces arrive sooner.
MIN_SWITCH_WINDOW_S = 1.8
# A target is out of service for about 0.3 s while it loads, so a larger gap
# between two targets is not needed.
MAX_SWITCH_GAP_S = 0.35
# Factor on the time that the downlink alone needs, as weights get a smaller
# share of the uplinks.
SWARM_SLOWDOWN = 1.25
# Entries stop using older weights this long before the bound.
ENTRY_MARGIN_S = 0.5
# Time for reading back, the order and the load.
LOAD_TIME_S = 0.45


def choose_version(
    desired_since: Mapping[ids.WeightsVersion, float],
    held_version: int,
    complete: Collection[int],
    *,
    now: float,
    bound_s: float,
    lead_time_s: float,
) -> ids.WeightsVersion:
    """Return the version to fetch next.

    This is the newest version, unless fetching an older one first leaves the
    target out of service for less time.

    Parameters
    ----------
    desired_since
        Monotonic time at which each version was named, in seconds; not
        empty.
    held_version
        Version that the target holds; 0 if none.
    complete
        Versions of which all pieces have been fetched.
    now
        Current monotonic time, in seconds.
    bound_s
        Time after naming a version by which it must be loaded, in seconds.
    lead_time_s
        Time from naming a version until it can be loaded, in seconds.
    """
    newest = max(desired_since)
    if not held_version or held_version >= newest:
        return newest
    for version in sorted(desired_since):
        if version <= held_version or version in complete or version == newest:
            continue
        due = desired_since[version] + bound_s
        if now >= due:
            continue
        gap_if_dropped_s = desired_since[newest] + lead_time_s - due
        ready = desired_since[version] + lead_time_s
        newest_ready = max(ready, desired_since[newest]) + lead_time_s
        newest_due = desired_since[newest] + bound_s
        gap_if_finished_s = max(0.0, ready - due) + max(
            0.0, newest_ready - newest_due
        )
        if gap_if_finished_s < gap_if_dropped_s:
            return version
    return newest


def switch_at(
    desired_since: float,
    *,
    bound_s: float,
    lead_time_s: float,
    position: int,
    count: int,
) -> float:
    """Return the monotonic time at which a target should switch.

    Parameters
    ----------
    desired_since
        Monotonic time at which the version was named, in seconds.
    lead_time_s
        Time from naming a version until it can be loaded, in seconds.
    position
        The target's index among the ``count`` targets of its service.
    """
    latest = desired_since + bound_s - SWITCH_MARGIN_S
    if count < 2:
        return latest
    spare_s = bound_s - SWITCH_MARGIN_S - lead_time_s
    window_s = min(
        max(MIN_SWITCH_WINDOW_S, spare_s), MAX_SWITCH_GAP_S * (count - 1)
    )
    return latest - window_s * (count - 1 - position) / (count - 1)
