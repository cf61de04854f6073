"""Selects the next piece to request and its source; does no I/O.

Many hosts want the same bytes at once over links of a few Mbit/s. Each piece
has one origin reader, which requests it from the origin, and one relay in
each other region, which requests it from the origin reader. The other hosts
of a region request pieces from any host of their region. So each piece is
read from the origin once and enters each region once, and uploads are spread
because every host is responsible for other pieces.
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

# Age of a fetch after which relays read the pieces that no watched peer has
# from the origin themselves, and any agent may request pieces from other
# regions. The origin has sent every piece once after about 1.7 s.
RELAY_FALLBACK_S = 2.5
# Age of a fetch after which any agent reads the pieces that no watched peer
# has from the origin.
ORIGIN_FALLBACK_S = 3.5
# Number of preceding agents in a piece's order that an agent watches, to
# replace them when they are unreachable.
WATCHED_PREDECESSORS = 1


class SourceKind(enum.Enum):
    """Kind of source that a piece is requested from."""

    ORIGIN = "origin"
    PEER = "peer"


class Peer(msgspec.Struct, frozen=True, kw_only=True):
    """An agent whose target runs the same model.

    Attributes
    ----------
    holds_version
        Whether its target is registered with the wanted version.
    """

    host_ip: str
    region: str
    holds_version: bool


class PieceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A piece and the host to request it from; "" means the origin."""

    index: int
    host_ip: str = ""

    @property
    def kind(self) -> SourceKind:
        """Kind of the source."""
        return SourceKind.PEER if self.host_ip else SourceKind.ORIGIN


class Swarm:
    """The agents that share a version.

    Origin readers and relays are derived from host addresses by hashing, so
    agents whose lists differ by a few hosts still agree on most pieces.

    Attributes
    ----------
    unreachable
        Hosts of agents that do not answer; the next host in a piece's order
        replaces them.
    incomplete
        Hosts of agents that reported fewer than all pieces.
    holders
        Reachable agents registered with the version and not incomplete.
    origin_readers
        For each piece, hosts in the order in which they are responsible for
        reading it from the origin.
    relays
        For each piece, hosts of this region in the order in which they are
        responsible for fetching it into the region.
    """

    def __init__(self, *, me: Peer, peers: list[Peer], count: int) -> None:
        """Assign ``count`` pieces."""
        self.me = me
        self.peers: list[Peer] = []
        self.count = count
        self.unreachable: set[str] = set()
        self.incomplete: set[str] = set()
        self.holders: list[Peer] = []
        self.regions: dict[str, str] = {}
        self.origin_readers = _assign_pieces(count, [])
        self.relays = _assign_pieces(count, [])
        self.update_peers(peers)

    @property
    def is_alone(self) -> bool:
        """Whether no other agent is known."""
        return all(p.host_ip == self.me.host_ip for p in self.peers)

    def update_peers(self, listed: list[Peer]) -> bool:
        """Replace the peers; return whether this changed them.

        A peer that is no longer listed stays while it answers, as
        registrations also lapse while the store is away.
        """
        listed_ips = {p.host_ip for p in listed}
        answering = [
            p
            for p in self.peers
            if p.host_ip not in listed_ips | self.unreachable
        ]
        peers = sorted([*listed, *answering], key=lambda p: p.host_ip)
        if peers == self.peers:
            return False
        self.peers = peers
        self.update_holders()
        regions = {p.host_ip: p.region for p in peers}
        if regions != self.regions:
            self.regions = regions
            self.origin_readers = _assign_pieces(self.count, list(regions))
            self.relays = _assign_pieces(
                self.count,
                [h for h, r in regions.items() if r == self.me.region],
            )
        return True

    def update_holders(self) -> None:
        """Find the reachable agents that have all pieces."""
        out = self.unreachable | self.incomplete
        self.holders = [
            p for p in self.peers if p.holds_version and p.host_ip not in out
        ]

    def update_peer_pieces(
        self, host_ip: str, indexes: Collection[int]
    ) -> None:
        """Record whether a peer has all pieces."""
        self._set_member(self.incomplete, host_ip, len(indexes) < self.count)

    def set_unreachable(self, host_ip: str, unreachable: bool) -> None:
        """Record whether an agent answers."""
        self._set_member(self.unreachable, host_ip, unreachable)

    def _set_member(
        self, hosts: set[str], host_ip: str, is_member: bool
    ) -> None:
        if (host_ip in hosts) == is_member:
            return
        if is_member:
            hosts.add(host_ip)
        else:
            hosts.discard(host_ip)
        self.update_holders()

    def is_origin_reader(self, index: int) -> bool:
        """Whether this agent is to read a piece from the origin."""
        return not self.holders and self._is_responsible(
            self.origin_readers[index]
        )

    def is_relay(self, index: int) -> bool:
        """Whether this agent is to fetch a piece from another region."""
        holders = self.holders
        if holders:
            if any(p.region == self.me.region for p in holders):
                return False
        elif self.origin_readers[index]:
            first = self.origin_readers[index][0]
            if self.regions.get(first) == self.me.region:
                return False
        return self._is_responsible(self.relays[index])

    def hosts_to_watch(self) -> list[str]:
        """Return the hosts whose pieces this agent needs to know."""
        to_watch = {
            p.host_ip for p in self.peers if p.region == self.me.region
        }
        holders = self.holders
        if not any(p.region == self.me.region for p in holders):
            to_watch.update(p.host_ip for p in holders)
        for index, order in enumerate(self.origin_readers):
            if self.is_relay(index):
                to_watch.update(order[:1])
            if self.me.host_ip in order[: WATCHED_PREDECESSORS + 1]:
                to_watch.update(order[:WATCHED_PREDECESSORS])
        to_watch.discard(self.me.host_ip)
        return sorted(to_watch)

    def _is_responsible(self, order: list[str]) -> bool:
        for host_ip in order:
            if host_ip == self.me.host_ip:
                return True
            if host_ip not in self.unreachable:
                return False
        return not order


def list_peers(
    targets: Iterable[directory.Target],
    regions: Mapping[str, str],
    *,
    model: ids.ModelName,
    version: ids.WeightsVersion,
    my_ip: str,
) -> list[Peer]:
    """Return the agents of some targets, one for each host.

    After a restart, a host has two registrations until the old one expires;
    the newest is used.

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
            holds_version=target.weights.get(model) == version
            and host_ip != my_ip,
        )
        for host_ip, target in sorted(newest.items())
    ]


def _assign_pieces(count: int, hosts: list[str]) -> list[list[str]]:
    """Return the order in which hosts are responsible for each piece.

    Rendezvous hashing gives the order of each piece; first places are
    distributed evenly over the hosts.
    """
    if not hosts:
        return [[] for _ in range(count)]
    max_first_places = -(-count // len(hosts))
    first_places: collections.Counter[str] = collections.Counter()
    orders = []
    for index in range(count):
        order = sorted(hosts, key=lambda h: rendezvous.weight(str(index), h))
        first = next(h for h in order if first_places[h] < max_first_places)
        first_places[first] += 1
        order.remove(first)
        orders.append([first, *order])
    return orders


def select_piece(
    swarm: Swarm,
    missing: Collection[int],
    peer_pieces: Mapping[str, Collection[int]],
    requests_in_flight: Mapping[str, int],
    *,
    origin_allowed: bool,
    age_s: float,
) -> PieceRequest | None:
    """Return the next piece to request; None if none is available now.

    The source of a piece is a peer in this region if one has it, else a peer
    in another region, else the origin. Pieces whose source is the origin come
    first, then those from other regions, then those from this region; among
    these, the piece whose source has the fewest requests in flight, then the
    rarest piece.

    Parameters
    ----------
    missing
        Indexes of the pieces that are neither stored nor in flight.
    peer_pieces
        Indexes of the pieces that each watched peer has, by host.
    requests_in_flight
        Number of requests in flight, by host.
    origin_allowed
        Whether another request to the origin is allowed.
    age_s
        Time since this agent began to fetch the version, in seconds.
    """
    near = [h for h in peer_pieces if swarm.regions.get(h) == swarm.me.region]
    far = [h for h in peer_pieces if h not in near]
    best, best_rank = None, None
    for index in missing:
        near_sources = [h for h in near if index in peer_pieces[h]]
        far_sources = [h for h in far if index in peer_pieces[h]]
        if near_sources:
            rank, sources = (2, len(near_sources)), near_sources
        elif far_sources and (
            swarm.is_relay(index) or age_s > RELAY_FALLBACK_S
        ):
            rank, sources = (1, len(far_sources)), far_sources
        elif origin_allowed and _may_read_origin(
            swarm, index, bool(far_sources), age_s
        ):
            rank, sources = (0, 0), [""]
        else:
            continue
        fewest_in_flight = min(requests_in_flight.get(h, 0) for h in sources)
        rank = (rank[0], fewest_in_flight, rank[1], random.random())
        if best_rank is None or rank < best_rank:
            host = min(
                sources,
                key=lambda h: (requests_in_flight.get(h, 0), random.random()),
            )
            best, best_rank = PieceRequest(index=index, host_ip=host), rank
    return best


def _may_read_origin(
    swarm: Swarm, index: int, is_available: bool, age_s: float
) -> bool:
    """Whether this agent may read a piece from the origin now."""
    if swarm.is_origin_reader(index):
        return True
    if is_available:
        return False
    return age_s > ORIGIN_FALLBACK_S or (
        age_s > RELAY_FALLBACK_S and swarm.is_relay(index)
    )
