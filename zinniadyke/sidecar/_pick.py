"""Which piece to ask of whom next. Plain decisions, no I/O.

Load it answers: many hosts want the same bytes at once over links of a few
Mbit/s. Each piece has one first reader, who takes it from the origin, and in
each other region one relay, who takes it from there; the rest of a region
takes what any neighbour has. So the origin is read once, each region is
entered once, and uploads spread because pieces rotate over the hosts.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import enum
import random

import msgspec

from zinniadyke import directory
from zinniadyke import ids
from zinniadyke import rendezvous

# Time after which a piece that nobody seems to have is read from the origin
# by those who relay it, then by all. The origin has sent every piece once
# after some 1.7 s.
RELAY_STALL_S = 2.5
ANY_STALL_S = 3.5
# Agents before this one, in the order of a piece, that it watches to do
# their part when they are gone.
TAKEOVER_REACH = 1


class SourceKind(enum.Enum):
    """What a piece is asked of."""

    ORIGIN = "origin"
    PEER = "peer"


class Peer(msgspec.Struct, frozen=True, kw_only=True):
    """An agent that brings the same model to its target.

    Attributes
    ----------
    holds
        Whether its target held the wanted version before.
    """

    host_ip: str
    region: str
    holds: bool


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """A piece and whom to ask for it; no host means the origin."""

    index: int
    host_ip: str = ""

    @property
    def kind(self) -> SourceKind:
        """What is asked."""
        return SourceKind.PEER if self.host_ip else SourceKind.ORIGIN


class Swarm:
    """The agents that share a version.

    Who reads a piece first, and who relays it, follows from names alone, so
    that agents whose lists differ by a few still agree on most pieces.

    Attributes
    ----------
    gone
        Hosts of agents that do not answer; the next in order does their
        part.
    lacking
        Hosts of agents that told of fewer than all pieces.
    """

    def __init__(self, *, me: Peer, peers: list[Peer], count: int) -> None:
        """Assign ``count`` pieces."""
        self.me = me
        self.peers = peers
        self.count = count
        self.gone: set[str] = set()
        self.lacking: set[str] = set()
        self.regions = {p.host_ip: p.region for p in peers}
        regional = [p for p in peers if p.region == me.region]
        self.readers = _assign(count, [p.host_ip for p in peers])
        self.relays = _assign(count, [p.host_ip for p in regional])

    @property
    def holders(self) -> list[Peer]:
        """Agents whose targets held the version before."""
        out = self.gone | self.lacking
        return [p for p in self.peers if p.holds and p.host_ip not in out]

    def note_pieces(self, host_ip: str, indexes: Collection[int]) -> None:
        """Take in which pieces a peer has."""
        if len(indexes) < self.count:
            self.lacking.add(host_ip)
        else:
            self.lacking.discard(host_ip)

    def is_first_reader(self, index: int) -> bool:
        """Whether this agent takes a piece from the origin."""
        return not self.holders and self._is_first(self.readers[index])

    def is_relay(self, index: int) -> bool:
        """Whether this agent brings a piece into its region."""
        holders = self.holders
        if holders:
            if any(p.region == self.me.region for p in holders):
                return False
        elif self.readers[index]:
            first = self.readers[index][0]
            if self.regions.get(first) == self.me.region:
                return False
        return self._is_first(self.relays[index])

    def watched(self) -> list[str]:
        """Return the hosts whose pieces this agent must know of."""
        wanted = {p.host_ip for p in self.peers if p.region == self.me.region}
        holders = self.holders
        if not any(p.region == self.me.region for p in holders):
            wanted.update(p.host_ip for p in holders)
        for index, order in enumerate(self.readers):
            if self.is_relay(index):
                wanted.update(order[:1])
            if self.me.host_ip in order[: TAKEOVER_REACH + 1]:
                wanted.update(order[:TAKEOVER_REACH])
        wanted.discard(self.me.host_ip)
        return sorted(wanted)

    def _is_first(self, order: list[str]) -> bool:
        for host_ip in order:
            if host_ip == self.me.host_ip:
                return True
            if host_ip not in self.gone:
                return False
        return not order


def peers_of(
    targets: Iterable[directory.Target],
    regions: Mapping[str, str],
    *,
    model: ids.ModelName,
    version: ids.WeightsVersion,
    my_ip: str,
) -> list[Peer]:
    """Return the agents beside some targets, one a host.

    The registration of a target that has started anew on its host stands
    beside the old one until that lapses; the newest counts.

    Parameters
    ----------
    regions
        Region of each availability zone.
    """
    newest: dict[str, directory.Target] = {}
    for target in targets:
        known = newest.get(target.host_ip)
        if known is None or target.born_ms >= known.born_ms:
            newest[target.host_ip] = target
    return [
        Peer(
            host_ip=host_ip,
            region=regions.get(target.zone, ""),
            holds=target.weights.get(model) == version and host_ip != my_ip,
        )
        for host_ip, target in sorted(newest.items())
    ]


def _assign(count: int, hosts: list[str]) -> list[list[str]]:
    """Return the order in which hosts are responsible for each piece.

    The order of a piece follows from a hash; the first place is given out
    evenly.
    """
    if not hosts:
        return [[] for _ in range(count)]
    most = -(-count // len(hosts))
    given: collections.Counter[str] = collections.Counter()
    orders = []
    for index in range(count):
        order = sorted(hosts, key=lambda h: rendezvous.weight(str(index), h))
        first = next(h for h in order if given[h] < most)
        given[first] += 1
        order.remove(first)
        orders.append([first, *order])
    return orders


def pick(
    swarm: Swarm,
    missing: Collection[int],
    have: Mapping[str, Collection[int]],
    asked: Mapping[str, int],
    *,
    origin_free: bool,
    age_s: float,
) -> Choice | None:
    """Return the next piece to ask for; None if none can be had now.

    Parameters
    ----------
    missing
        Pieces that are neither here nor asked for.
    have
        Pieces that each watched peer has, by host.
    asked
        Pieces that are asked of each peer now, by host.
    origin_free
        Whether another call to the origin is allowed.
    age_s
        Time since this agent began to fetch the version, in seconds.
    """
    near = [h for h in have if swarm.regions.get(h) == swarm.me.region]
    far = [h for h in have if h not in near]
    best, best_rank = None, None
    for index in missing:
        here = [h for h in near if index in have[h]]
        there = [h for h in far if index in have[h]]
        if here:
            rank, sources = (2, len(here)), here
        elif there and (swarm.is_relay(index) or age_s > RELAY_STALL_S):
            rank, sources = (1, len(there)), there
        elif origin_free and _may_read(swarm, index, bool(there), age_s):
            rank, sources = (0, 0), [""]
        else:
            continue
        least = min(asked.get(h, 0) for h in sources)
        rank = (rank[0], least, rank[1], random.random())
        if best_rank is None or rank < best_rank:
            host = min(
                sources, key=lambda h: (asked.get(h, 0), random.random())
            )
            best, best_rank = Choice(index=index, host_ip=host), rank
    return best


def _may_read(swarm: Swarm, index: int, seen: bool, age_s: float) -> bool:
    """Whether this agent reads a piece from the origin now."""
    if swarm.is_first_reader(index):
        return True
    if seen:
        return False
    return age_s > ANY_STALL_S or (
        age_s > RELAY_STALL_S and swarm.is_relay(index)
    )
