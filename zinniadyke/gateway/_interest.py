"""Selects the targets that an entry places requests on, without I/O.

Every agent reports to every entry that may place requests on its target, ten
times a second. With all of them that grows with the product of entries and
targets, so in a large fleet each entry uses a part of a service's targets:
those of its own region, and a few of each other region for the time in which
its own have no free slots.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from zinniadyke import directory
from zinniadyke import rendezvous

# Services with at most this many targets are used as a whole.
MAX_WHOLE_SERVICE = 48
# Targets of its own region that an entry uses at most.
MAX_OWN_TARGETS = 32
# Targets of each other region that an entry uses. Reports of a region's
# targets also tell how many entries the region has.
TARGETS_PER_OTHER_REGION = 2
# The same of a region that lists of allowed regions name, as some requests may
# be served nowhere else.
TARGETS_PER_NAMED_REGION = 8
# Targets that an entry uses at least, from other regions if its own has few.
MIN_TARGETS = 16


def select_targets(
    targets: Iterable[directory.Target],
    *,
    entry: str,
    region: str,
    regions: Mapping[str, str],
    evacuated_zones: Collection[str] = (),
    named_regions: Collection[str] = (),
) -> list[directory.Target]:
    """Return the targets of a service that an entry uses.

    The choice follows from names alone, so that a target that comes or goes
    changes it by that target only, and the entries of a region spread evenly
    over the targets of others.

    Parameters
    ----------
    entry
        Name of the entry's host.
    region
        Region of the entry.
    regions
        Region of each availability zone.
    evacuated_zones
        Zones whose targets get no requests; of a large service, they are
        used only if all targets are in such zones.
    named_regions
        Regions that the configuration's lists of allowed regions name.
    """
    usable = [t for t in targets if not t.leaving]
    if len(usable) <= MAX_WHOLE_SERVICE:
        return usable
    if evacuated_zones:
        usable = [t for t in usable if t.zone not in evacuated_zones] or usable
    usable.sort(key=lambda t: rendezvous.weight(entry, t.host_ip))
    by_region: dict[str, list[directory.Target]] = {}
    for target in usable:
        by_region.setdefault(regions.get(target.zone, ""), []).append(target)
    own = by_region.pop(region, [])[:MAX_OWN_TARGETS]
    others: list[directory.Target] = []
    rest: list[directory.Target] = []
    for name, found in by_region.items():
        used = TARGETS_PER_OTHER_REGION
        if name in named_regions:
            used = TARGETS_PER_NAMED_REGION
        others += found[:used]
        rest += found[used:]
    rest.sort(key=lambda t: rendezvous.weight(entry, t.host_ip))
    missing = max(0, MIN_TARGETS - len(own) - len(others))
    return own + others + rest[:missing]
