"""Which piece to ask of whom next. Plain decisions, no I/O.

Load it answers: many hosts want the same bytes at once over links of a few
Mbit/s. Each piece has one first reader, who takes it from the origin, and in
each other region one relay, who takes it from there; the rest of a region
takes what any neighbour has. So the origin is read once, each region is
entered once, and uploads spread because pieces rotate over the hosts.
"""

from collections.abc import Collection
from collections.abc import Mapping
import enum
import random

import msgspec

# Time without any piece to ask for after which this agent does the duty of
# another: first the pieces it relays, then all.
RELAY_STALL_S = 1.0
ANY_STALL_S = 2.0


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


class Swarm(msgspec.Struct, frozen=True, kw_only=True):
    """The agents that share a version, in an order all of them know."""

    me: Peer
    peers: list[Peer]

    def is_first_reader(self, index: int) -> bool:
        """Whether this agent takes a piece from the origin."""
        if any(p.holds for p in self.peers):
            return False
        return not self.peers or (
            self.peers[index % len(self.peers)].host_ip == self.me.host_ip
        )

    def is_relay(self, index: int) -> bool:
        """Whether this agent brings a piece into its region."""
        if not self.peers:
            return True
        first = self.peers[index % len(self.peers)]
        holders = [p for p in self.peers if p.holds]
        if holders:
            if any(p.region == self.me.region for p in holders):
                return False
        elif first.region == self.me.region:
            return False
        regional = [p for p in self.peers if p.region == self.me.region]
        place = (index // len(self.peers)) % max(len(regional), 1)
        return bool(regional) and (regional[place].host_ip == self.me.host_ip)

    def watched(self, count: int) -> list[Peer]:
        """Return the peers whose pieces this agent must know of."""
        wanted = {p.host_ip for p in self.peers if p.region == self.me.region}
        holders = [p for p in self.peers if p.holds]
        near = any(p.region == self.me.region for p in holders)
        if holders and not near:
            wanted.update(p.host_ip for p in holders)
        for index in range(count):
            if self.is_relay(index):
                wanted.add(self.peers[index % len(self.peers)].host_ip)
        return [
            p
            for p in self.peers
            if p.host_ip in wanted and p.host_ip != self.me.host_ip
        ]


def pick(
    swarm: Swarm,
    missing: Collection[int],
    have: Mapping[str, Collection[int]],
    asked: Mapping[str, int],
    *,
    origin_free: bool,
    stalled_s: float,
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
    stalled_s
        Time since a piece could last be asked for, in seconds.
    """
    regions = {p.host_ip: p.region for p in swarm.peers}
    near = [h for h in have if regions.get(h) == swarm.me.region]
    far = [h for h in have if h not in near]
    best, best_rank = None, None
    for index in missing:
        here = [h for h in near if index in have[h]]
        there = [h for h in far if index in have[h]]
        if here:
            rank = (2, len(here))
            sources = here
        elif there and (swarm.is_relay(index) or stalled_s > RELAY_STALL_S):
            rank = (1, len(there))
            sources = there
        elif origin_free and _may_read(swarm, index, stalled_s):
            rank = (0, 0)
            sources = [""]
        else:
            continue
        busiest = min(asked.get(h, 0) for h in sources)
        rank = (rank[0], busiest, rank[1], random.random())
        if best_rank is None or rank < best_rank:
            host = min(
                sources, key=lambda h: (asked.get(h, 0), random.random())
            )
            best, best_rank = Choice(index=index, host_ip=host), rank
    return best


def _may_read(swarm: Swarm, index: int, stalled_s: float) -> bool:
    return (
        swarm.is_first_reader(index)
        or stalled_s > ANY_STALL_S
        or (stalled_s > RELAY_STALL_S and swarm.is_relay(index))
    )
