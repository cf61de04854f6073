"""Distribution tree of each chunk, computed identically on every host.

For each chunk the hosts form a tree. The order of the zones is rotated by
the chunk index, and so is the order of the hosts in each zone. The first
host of the first zone reads from the origin, the first host of every other
zone reads from the first host of an earlier zone, and all other hosts read
from a host of their own zone. The rotation gives every host each position
equally often, so uploads are balanced.
"""

import math

import msgspec

from zinniadyke import ids
from zinniadyke import platform
from zinniadyke import rendezvous

ARITY = 2
GOLDEN_RATIO_CONJUGATE = 0.618


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """Hosts by zone, ordered by rendezvous hash of the version."""

    zones: list[list[platform.Host]]

    @classmethod
    def of(cls, hosts: list[platform.Host], version: str) -> "Placement":
        """Group ``hosts`` by zone and order them by rendezvous hash."""
        by_zone: dict[str, list[platform.Host]] = {}
        for host in hosts:
            by_zone.setdefault(host.zone, []).append(host)
        zone_names = sorted(
            by_zone, key=lambda name: rendezvous.weight(version, name)
        )
        return cls(
            zones=[
                sorted(
                    by_zone[z],
                    key=lambda h: rendezvous.weight(version, h.name),
                )
                for z in zone_names
            ]
        )

    def order(self, index: int) -> list[list[platform.Host]]:
        """Return the zones and their hosts, rotated for one chunk."""
        zones = rendezvous.rotate(self.zones, index)
        rotation = index // max(len(self.zones), 1)
        return [
            rendezvous.rotate(zone, rotation * stride(len(zone)))
            for zone in zones
        ]


def stride(count: int) -> int:
    """Return the rotation step that spreads a few rotations evenly.

    The step is about ``count`` times 0.618, the golden ratio conjugate. It is
    coprime to ``count``, so ``count`` rotations visit every position once.
    """
    step = max(1, round(count * GOLDEN_RATIO_CONJUGATE))
    while math.gcd(step, count) != 1:
        step += 1
    return step


def candidates(
    placement: Placement,
    index: int,
    me: ids.HostName,
    origin_copies: float = 1.0,
) -> list[platform.Host]:
    """Return the hosts to request a chunk from, the parent first.

    The parent is followed by its ancestors, then by the other hosts that
    precede ``me``. All of them precede ``me`` in the order, so no two hosts
    wait for each other. An empty list means that ``me`` reads the chunk from
    the origin. This applies to the first hosts of the first
    ``origin_copies`` zones. With 1.5 copies, that is one zone for even chunks
    and two zones for odd chunks.
    """
    zones = placement.order(index)
    origin_readers = int(index * origin_copies + origin_copies) - int(
        index * origin_copies
    )
    for zone_index, zone in enumerate(zones):
        names = [host.name for host in zone]
        if me not in names:
            continue
        position = names.index(me)
        if position == 0 and zone_index < max(origin_readers, 1):
            return []
        return _preceding_hosts(zones, zone_index, position)
    return [zone[0] for zone in zones]


def seeds(placement: Placement) -> list[platform.Host]:
    """Return the hosts that retain a version for hosts that join late."""
    return [zone[0] for zone in placement.zones]


def holders_after_restart(
    placement: Placement, index: int, me: ids.HostName
) -> list[platform.Host]:
    """Return hosts that may hold a chunk read before ``me`` restarted.

    If ``me`` is the first host of the chunk, it may have read the chunk from
    the origin before it restarted; its first child then has the chunk. While
    ``me`` was down, another host was the first host.
    """
    zones = placement.order(index)
    if not zones or zones[0][0].name != me:
        return []
    remaining_zones = [
        [h for h in zone if h.name != me] for zone in placement.zones
    ]
    others = Placement(zones=[zone for zone in remaining_zones if zone])
    substitute = [zone[0] for zone in others.order(index)[:1]]
    return list(dict.fromkeys([*substitute, *zones[0][1:2]]))


def _preceding_hosts(
    zones: list[list[platform.Host]], zone_index: int, position: int
) -> list[platform.Host]:
    own_zone = zones[zone_index]
    zone_ancestors = [own_zone[i] for i in _ancestor_positions(position)]
    first_hosts = [zones[i][0] for i in _ancestor_positions(zone_index)]
    rest = own_zone[:position] + [zone[0] for zone in zones[:zone_index]]
    return list(dict.fromkeys(zone_ancestors + first_hosts + rest))


def _ancestor_positions(position: int) -> list[int]:
    found = []
    while position > 0:
        position = (position - 1) // ARITY
        found.append(position)
    return found
