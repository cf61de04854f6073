"""Whom to ask for a piece of weights, in order. Plain decisions, no I/O.

Load it answers: many hosts want the same 2 MiB at once over links of a few
Mbit/s. Each piece has one first reader, who takes it from the origin; one
relay in each other region fetches it from there, and the rest of a region
from its relay. So the origin is read once, each region is entered once, and
uploads spread evenly because pieces rotate over the hosts.
"""

import enum

import msgspec

from zinniadyke import rendezvous


class SourceKind(enum.Enum):
    """What a piece is asked of."""

    ORIGIN = "origin"
    PEER = "peer"


class Source(msgspec.Struct, frozen=True, kw_only=True):
    """Somebody who has, or will have, a piece.

    Attributes
    ----------
    waits
        Whether the peer may still be fetching it, so that asking may wait.
    """

    kind: SourceKind
    host_ip: str = ""
    waits: bool = False


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


ORIGIN = Source(kind=SourceKind.ORIGIN)


def sources(index: int, me: Peer, peers: list[Peer]) -> list[Source]:
    """Return whom to ask for piece ``index``, the best first.

    Parameters
    ----------
    peers
        All agents of the service, also this one, in an order that all
        agents share.
    """
    others = [p for p in peers if p.host_ip != me.host_ip]
    holders = [p for p in others if p.holds]
    if holders:
        near = [p for p in holders if p.region == me.region]
        far = [p for p in holders if p.region != me.region]
        ordered = (
            rendezvous.rotate(near, index)[:2]
            + rendezvous.rotate(far, index)[:2]
        )
        return [_peer(p, waits=False) for p in ordered] + [ORIGIN]
    if not others:
        return [ORIGIN]
    first = peers[index % len(peers)]
    if first.host_ip == me.host_ip:
        return [ORIGIN]
    if first.region == me.region:
        return [_peer(first, waits=True), ORIGIN]
    regional = [p for p in peers if p.region == me.region]
    relay = regional[(index // len(peers)) % len(regional)]
    if relay.host_ip == me.host_ip:
        return [_peer(first, waits=True), ORIGIN]
    return [_peer(relay, waits=True), _peer(first, waits=True), ORIGIN]


def order(count: int, me: Peer, peers: list[Peer]) -> list[int]:
    """Return the order in which this agent asks for its pieces.

    Those that others wait for come first; the rest starts at a place of
    its own, so that not all ask the same host.
    """
    ranked = []
    place = next(
        (n for n, p in enumerate(peers) if p.host_ip == me.host_ip), 0
    )
    for index in range(count):
        best = sources(index, me, peers)[0]
        rank = 2
        if best.kind is SourceKind.ORIGIN:
            rank = 0
        elif _is_relay(index, me, peers):
            rank = 1
        turn = (index - place) % max(len(peers), 1)
        ranked.append((rank, index // max(len(peers), 1), turn, index))
    return [index for *_, index in sorted(ranked)]


def _is_relay(index: int, me: Peer, peers: list[Peer]) -> bool:
    first = peers[index % len(peers)]
    regional = [p for p in peers if p.region == me.region]
    return (
        first.region != me.region
        and bool(regional)
        and regional[(index // len(peers)) % len(regional)].host_ip
        == me.host_ip
    )


def _peer(peer: Peer, *, waits: bool) -> Source:
    return Source(kind=SourceKind.PEER, host_ip=peer.host_ip, waits=waits)
