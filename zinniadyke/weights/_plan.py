"""Who fetches which chunk from whom, computed alike on every host.

For each chunk the hosts form a tree. The zones come one after another from
a zone that rotates with the chunk; in each zone the hosts come from a host
that rotates with the chunk. The first host of the first zone reads the
origin, the first host of each other zone reads from the first host of a
zone before it, and all others read from a host of their zone. The rotation
gives every host each position equally often, so uploads are balanced.
"""

import math

import msgspec

from zinniadyke import ids
from zinniadyke import platform
from zinniadyke import rendezvous

ARITY = 2
GOLDEN_SECTION = 0.618


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """Hosts of each zone, in the order that the version's hash gives."""

    zones: list[list[platform.Host]]

    @classmethod
    def of(cls, hosts: list[platform.Host], version: str) -> "Placement":
        """Group ``hosts`` by zone and order them by rendezvous hash."""
        by_zone: dict[str, list[platform.Host]] = {}
        for host in hosts:
            by_zone.setdefault(host.zone, []).append(host)
        ordered = sorted(
            by_zone, key=lambda name: rendezvous.weight(version, name)
        )
        return cls(
            zones=[
                sorted(
                    by_zone[z],
                    key=lambda h: rendezvous.weight(version, h.name),
                )
                for z in ordered
            ]
        )

    def order(self, index: int) -> list[list[platform.Host]]:
        """Return zones and hosts as rotated for one chunk."""
        zones = rendezvous.rotate(self.zones, index)
        turn = index // max(len(self.zones), 1)
        return [
            rendezvous.rotate(zone, turn * stride(len(zone))) for zone in zones
        ]


def stride(count: int) -> int:
    """Return by how much to rotate, so that few turns spread evenly.

    Turns are multiples of about the golden section of ``count``, and come
    to every position once in ``count`` turns.
    """
    step = max(1, round(count * GOLDEN_SECTION))
    while math.gcd(step, count) != 1:
        step += 1
    return step


def candidates(
    placement: Placement,
    index: int,
    me: ids.HostName,
    origin_copies: float = 1.0,
) -> list[platform.Host]:
    """Return the hosts to ask for a chunk, the parent first.

    After the parent come its own ancestors, then the other hosts before
    this one. All stand earlier in the order than ``me``, so no two hosts
    wait for each other. An empty list means: read the origin. So do the
    first hosts of the first ``origin_copies`` zones; of 1.5 copies, those
    of one zone for even chunks and of two for odd ones.
    """
    zones = placement.order(index)
    readers = int(index * origin_copies + origin_copies) - int(
        index * origin_copies
    )
    for number, zone in enumerate(zones):
        names = [host.name for host in zone]
        if me not in names:
            continue
        position = names.index(me)
        if position == 0 and number < max(readers, 1):
            return []
        return _before(zones, number, position)
    return [zone[0] for zone in zones]


def seeds(placement: Placement) -> list[platform.Host]:
    """Return the hosts that keep a version's bytes for late joiners."""
    return [zone[0] for zone in placement.zones]


def former_life(
    placement: Placement, index: int, me: ids.HostName
) -> list[platform.Host]:
    """Return who has a chunk that was read before ``me`` restarted.

    The first host of a chunk may have read it in a former life, and its
    first child has it then. While it was away another host was the first.
    """
    zones = placement.order(index)
    if not zones or zones[0][0].name != me:
        return []
    without = [[h for h in zone if h.name != me] for zone in placement.zones]
    others = Placement(zones=[zone for zone in without if zone])
    stand_in = [zone[0] for zone in others.order(index)[:1]]
    return list(dict.fromkeys([*stand_in, *zones[0][1:2]]))


def _before(
    zones: list[list[platform.Host]], number: int, position: int
) -> list[platform.Host]:
    own = zones[number]
    line = [own[i] for i in _ancestors(position)]
    heads = [zones[i][0] for i in _ancestors(number)]
    rest = own[:position] + [zone[0] for zone in zones[:number]]
    return list(dict.fromkeys(line + heads + rest))


def _ancestors(position: int) -> list[int]:
    found = []
    while position > 0:
        position = (position - 1) // ARITY
        found.append(position)
    return found
