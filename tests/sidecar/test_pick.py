import collections

from zinniadyke import directory
from zinniadyke.sidecar import _pick

COUNT = 64
REGIONS = ("a", "b", "c")


def peer(number, *, holds=False, region=None):
    return _pick.Peer(
        host_ip=f"10.0.0.{number}",
        region=region or REGIONS[number % len(REGIONS)],
        holds=holds,
    )


PEERS = [peer(n) for n in range(10)]


def swarm(me, peers=PEERS):
    return _pick.Swarm(me=me, peers=peers, count=COUNT)


def pick(found, have, missing=range(COUNT), *, origin=True, age_s=0.0):
    return _pick.pick(
        found, list(missing), have, {}, origin_free=origin, age_s=age_s
    )


def readers(peers, lists=None):
    """Return who reads each piece first, by host."""
    lists = lists or [peers] * len(peers)
    return {
        me.host_ip: [
            n for n in range(COUNT) if swarm(me, known).is_first_reader(n)
        ]
        for me, known in zip(peers, lists, strict=True)
    }


OWN = readers(PEERS)[PEERS[0].host_ip]
OTHERS = [n for n in range(COUNT) if n not in OWN]


def test_each_piece_has_one_first_reader_and_shares_are_even():
    found = readers(PEERS)
    assert sorted(sum(found.values(), [])) == list(range(COUNT))
    assert max(len(pieces) for pieces in found.values()) <= 7


def test_each_region_has_one_relay_for_each_piece_from_elsewhere():
    relays = collections.Counter()
    for me in PEERS:
        found = swarm(me)
        for index in range(COUNT):
            relays[me.region, index] += found.is_relay(index)
    owners = {n: h for h, pieces in readers(PEERS).items() for n in pieces}
    regions = {p.host_ip: p.region for p in PEERS}
    for region in REGIONS:
        for index in range(COUNT):
            own = regions[owners[index]] == region
            assert relays[region, index] == (0 if own else 1)


def test_agents_whose_lists_differ_leave_few_pieces_to_one_another():
    lists = [PEERS if n % 2 else PEERS[:-1] for n in range(len(PEERS))]
    found = sum(readers(PEERS, lists).values(), [])
    assert len(set(found)) >= COUNT * 0.8


def test_part_of_a_silent_agent_is_taken_over():
    lost = PEERS[3]
    pieces = readers(PEERS)[lost.host_ip]
    taken = collections.Counter()
    for me in PEERS:
        if me is lost:
            continue
        found = swarm(me)
        found.gone.add(lost.host_ip)
        taken.update(n for n in pieces if found.is_first_reader(n))
    assert sorted(taken) == pieces
    assert set(taken.values()) == {1}


def test_own_part_is_read_from_the_origin_first():
    choice = pick(swarm(PEERS[0]), {PEERS[3].host_ip: set(OTHERS)})
    assert choice.kind is _pick.SourceKind.ORIGIN
    assert choice.index in OWN


def test_neighbours_are_asked_for_what_they_have():
    me, near = PEERS[0], PEERS[3]
    choice = pick(swarm(me), {near.host_ip: {OTHERS[0]}}, OTHERS)
    assert choice == _pick.Choice(index=OTHERS[0], host_ip=near.host_ip)


def test_pieces_of_other_regions_come_through_the_relay():
    me, far = PEERS[0], PEERS[1]
    found = swarm(me)
    theirs = readers(PEERS)[far.host_ip]
    choice = pick(found, {far.host_ip: set(theirs)}, theirs)
    relayed = [n for n in theirs if found.is_relay(n)]
    assert (choice.index if choice else None) in (relayed or [None])
    late = pick(found, {far.host_ip: set(theirs)}, theirs, age_s=10.0)
    assert late.host_ip == far.host_ip


def test_piece_that_nobody_has_is_read_from_the_origin_in_the_end():
    me = PEERS[0]
    found = swarm(me)
    assert pick(found, {}, OTHERS) is None
    assert pick(found, {}, OTHERS, age_s=_pick.ANY_STALL_S + 0.1) is not None
    assert (
        pick(found, {}, OTHERS, origin=False, age_s=_pick.ANY_STALL_S + 0.1)
        is None
    )


def test_holders_spare_the_origin():
    peers = [peer(n, holds=n < 6) for n in range(10)]
    me = peers[9]
    found = swarm(me, peers)
    near = peers[0].host_ip
    assert near in found.watched()
    choice = pick(found, {near: set(range(COUNT))})
    assert choice.host_ip == near
    assert pick(found, {}) is None


def test_alone_everything_comes_from_the_origin():
    me = PEERS[0]
    assert pick(swarm(me, []), {}).kind is _pick.SourceKind.ORIGIN
    assert pick(swarm(me, [me]), {}).kind is _pick.SourceKind.ORIGIN


def target(host_ip, *, born_ms, version=0, zone="a"):
    return directory.Target(
        id=f"{host_ip}-{born_ms}",
        service="s",
        address=f"{host_ip}:80",
        zone=zone,
        slots=4,
        leaving=False,
        born_ms=born_ms,
        weights={"m": version} if version else {},
    )


def test_host_with_an_old_registration_is_one_peer():
    """After a restart of all, old registrations stand beside new ones."""
    hosts = [f"10.0.0.{n}" for n in range(10)]
    listed = [target(h, born_ms=1000, version=2) for h in hosts]
    listed += [target(h, born_ms=2000) for h in reversed(hosts)]
    peers = _pick.peers_of(
        listed, {"a": "r1"}, model="m", version=2, my_ip=hosts[0]
    )
    assert sorted(p.host_ip for p in peers) == hosts
    assert not any(p.holds for p in peers)
    found = swarm(peers[0], peers)
    assert len(found.readers) == COUNT


def test_peer_that_holds_the_version_is_known_by_its_registration():
    listed = [target("10.0.0.1", born_ms=1, version=2)]
    (found,) = _pick.peers_of(
        listed, {"a": "r1"}, model="m", version=2, my_ip="10.0.0.2"
    )
    assert found == _pick.Peer(host_ip="10.0.0.1", region="r1", holds=True)
    (own,) = _pick.peers_of(
        listed, {"a": "r1"}, model="m", version=2, my_ip="10.0.0.1"
    )
    assert not own.holds


def test_holder_that_lacks_pieces_is_none():
    """Its registration is older than its restart."""
    peers = [peer(n, holds=n < 9) for n in range(10)]
    found = swarm(peers[9], peers)
    assert not any(found.is_first_reader(n) for n in range(COUNT))
    for stale in peers[:9]:
        found.note_pieces(stale.host_ip, set())
    assert not found.holders
    assert any(found.is_first_reader(n) for n in range(COUNT))
    found.note_pieces(peers[0].host_ip, set(range(COUNT)))
    assert found.holders == [peers[0]]
