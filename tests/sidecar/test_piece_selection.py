import collections

from zinniadyke import directory
from zinniadyke.sidecar import _piece_selection

COUNT = 64
REGIONS = ("a", "b", "c")


def peer(number, *, holds_version=False, region=None):
    return _piece_selection.Peer(
        host_ip=f"10.0.0.{number}",
        region=region or REGIONS[number % len(REGIONS)],
        holds_version=holds_version,
    )


PEERS = [peer(n) for n in range(10)]


def swarm(me, peers=PEERS):
    return _piece_selection.Swarm(me=me, peers=peers, count=COUNT)


def select_piece(
    found, peer_pieces, missing=range(COUNT), *, origin=True, age_s=0.0
):
    return _piece_selection.select_piece(
        found,
        list(missing),
        peer_pieces,
        {},
        origin_allowed=origin,
        age_s=age_s,
    )


def origin_readers(peers, lists=None):
    """Return the pieces that each host reads from the origin."""
    lists = lists or [peers] * len(peers)
    return {
        me.host_ip: [
            n for n in range(COUNT) if swarm(me, known).is_origin_reader(n)
        ]
        for me, known in zip(peers, lists, strict=True)
    }


OWN = origin_readers(PEERS)[PEERS[0].host_ip]
OTHERS = [n for n in range(COUNT) if n not in OWN]


def test_each_piece_has_one_origin_reader_and_shares_are_even():
    found = origin_readers(PEERS)
    assert sorted(sum(found.values(), [])) == list(range(COUNT))
    assert max(len(pieces) for pieces in found.values()) <= 7


def test_each_region_has_one_relay_for_each_piece_of_other_regions():
    relays = collections.Counter()
    for me in PEERS:
        found = swarm(me)
        for index in range(COUNT):
            relays[me.region, index] += found.is_relay(index)
    owners = {
        n: h for h, pieces in origin_readers(PEERS).items() for n in pieces
    }
    regions = {p.host_ip: p.region for p in PEERS}
    for region in REGIONS:
        for index in range(COUNT):
            own = regions[owners[index]] == region
            assert relays[region, index] == (0 if own else 1)


def test_different_peer_lists_leave_few_pieces_without_origin_reader():
    lists = [PEERS if n % 2 else PEERS[:-1] for n in range(len(PEERS))]
    found = sum(origin_readers(PEERS, lists).values(), [])
    assert len(set(found)) >= COUNT * 0.8


def test_each_piece_of_unreachable_agent_gets_one_other_reader():
    lost = PEERS[3]
    pieces = origin_readers(PEERS)[lost.host_ip]
    new_readers = collections.Counter()
    for me in PEERS:
        if me is lost:
            continue
        found = swarm(me)
        found.set_unreachable(lost.host_ip, True)
        new_readers.update(n for n in pieces if found.is_origin_reader(n))
    assert sorted(new_readers) == pieces
    assert set(new_readers.values()) == {1}


def test_own_pieces_are_read_from_origin_first():
    request = select_piece(swarm(PEERS[0]), {PEERS[3].host_ip: set(OTHERS)})
    assert request.kind is _piece_selection.SourceKind.ORIGIN
    assert request.index in OWN


def test_piece_is_requested_from_peer_in_same_region():
    me, near = PEERS[0], PEERS[3]
    request = select_piece(swarm(me), {near.host_ip: {OTHERS[0]}}, OTHERS)
    assert request == _piece_selection.PieceRequest(
        index=OTHERS[0], host_ip=near.host_ip
    )


def test_only_relay_requests_from_other_regions_before_fallback():
    me, far = PEERS[0], PEERS[1]
    found = swarm(me)
    theirs = origin_readers(PEERS)[far.host_ip]
    request = select_piece(found, {far.host_ip: set(theirs)}, theirs)
    relayed = [n for n in theirs if found.is_relay(n)]
    assert (request.index if request else None) in (relayed or [None])
    late = select_piece(found, {far.host_ip: set(theirs)}, theirs, age_s=10.0)
    assert late.host_ip == far.host_ip


def test_piece_without_source_is_read_from_origin_after_fallback_time():
    me = PEERS[0]
    found = swarm(me)
    assert select_piece(found, {}, OTHERS) is None
    assert (
        select_piece(
            found, {}, OTHERS, age_s=_piece_selection.ORIGIN_FALLBACK_S + 0.1
        )
        is not None
    )
    assert (
        select_piece(
            found,
            {},
            OTHERS,
            origin=False,
            age_s=_piece_selection.ORIGIN_FALLBACK_S + 0.1,
        )
        is None
    )


def test_origin_is_not_read_if_peers_hold_version():
    peers = [peer(n, holds_version=n < 6) for n in range(10)]
    me = peers[9]
    found = swarm(me, peers)
    near = peers[0].host_ip
    assert near in found.hosts_to_watch()
    request = select_piece(found, {near: set(range(COUNT))})
    assert request.host_ip == near
    assert select_piece(found, {}) is None


def test_agent_without_peers_reads_from_origin():
    me = PEERS[0]
    assert (
        select_piece(swarm(me, []), {}).kind
        is _piece_selection.SourceKind.ORIGIN
    )
    assert (
        select_piece(swarm(me, [me]), {}).kind
        is _piece_selection.SourceKind.ORIGIN
    )


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
    """After a restart, hosts have old registrations beside new ones."""
    hosts = [f"10.0.0.{n}" for n in range(10)]
    listed = [target(h, born_ms=1000, version=2) for h in hosts]
    listed += [target(h, born_ms=2000) for h in reversed(hosts)]
    peers = _piece_selection.list_peers(
        listed, {"a": "r1"}, model="m", version=2, my_ip=hosts[0]
    )
    assert sorted(p.host_ip for p in peers) == hosts
    assert not any(p.holds_version for p in peers)
    found = swarm(peers[0], peers)
    assert len(found.origin_readers) == COUNT


def test_registration_shows_that_peer_holds_version():
    listed = [target("10.0.0.1", born_ms=1, version=2)]
    (found,) = _piece_selection.list_peers(
        listed, {"a": "r1"}, model="m", version=2, my_ip="10.0.0.2"
    )
    assert found == _piece_selection.Peer(
        host_ip="10.0.0.1", region="r1", holds_version=True
    )
    (own,) = _piece_selection.list_peers(
        listed, {"a": "r1"}, model="m", version=2, my_ip="10.0.0.1"
    )
    assert not own.holds_version


def test_peer_that_lacks_pieces_is_no_holder():
    """A peer that restarted is still registered with its old weights."""
    peers = [peer(n, holds_version=n < 9) for n in range(10)]
    found = swarm(peers[9], peers)
    assert not any(found.is_origin_reader(n) for n in range(COUNT))
    for stale in peers[:9]:
        found.update_peer_pieces(stale.host_ip, set())
    assert not found.holders
    assert any(found.is_origin_reader(n) for n in range(COUNT))
    found.update_peer_pieces(peers[0].host_ip, set(range(COUNT)))
    assert found.holders == [peers[0]]


def test_pieces_are_assigned_anew_when_agents_register_during_a_fetch():
    alone = swarm(PEERS[0], [])
    assert alone.is_alone
    assert all(alone.is_origin_reader(n) for n in range(COUNT))
    assert alone.update_peers(PEERS)
    assert not alone.is_alone
    assert [n for n in range(COUNT) if alone.is_origin_reader(n)] == OWN
    assert alone.hosts_to_watch() == swarm(PEERS[0]).hosts_to_watch()
    assert not alone.update_peers(PEERS)


def test_peer_that_answers_stays_when_its_registration_lapses():
    found = swarm(PEERS[0])
    assert not found.update_peers([PEERS[0]])
    assert found.peers == PEERS


def test_unreachable_peer_goes_with_its_registration():
    found = swarm(PEERS[0])
    found.set_unreachable(PEERS[1].host_ip, True)
    assert found.update_peers([PEERS[0]])
    assert found.peers == [PEERS[0], *PEERS[2:]]


def test_peer_that_has_loaded_the_version_becomes_a_holder():
    found = swarm(PEERS[0])
    assert found.update_peers([peer(1, holds_version=True)])
    assert [p.host_ip for p in found.holders] == [PEERS[1].host_ip]
