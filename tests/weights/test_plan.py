import collections

import pytest

from zinniadyke import platform
from zinniadyke import weights


def hosts(zones: int, per_zone: int) -> list[platform.Host]:
    return [
        platform.Host(
            name=f"h{z}-{n}",
            role=platform.HostRole.TARGET,
            zone=f"z{z}",
            region="r",
            peer="127.0.0.1:1",
        )
        for z in range(zones)
        for n in range(per_zone)
    ]


def parents(every, chunks, copies=1):
    """Return per chunk: host to its first candidate, None for origin."""
    placement = weights.Placement.of(every, "m/1")
    for index in range(chunks):
        yield {
            host.name: next(
                iter(weights.candidates(placement, index, host.name, copies)),
                None,
            )
            for host in every
        }


@pytest.mark.parametrize(("zones", "per_zone"), [(1, 1), (3, 2), (4, 6)])
def test_each_chunk_is_read_once_and_crosses_zones_least(zones, per_zone):
    every = hosts(zones, per_zone)
    for tree in parents(every, 12):
        readers = [name for name, parent in tree.items() if parent is None]
        crossing = [
            name
            for name, parent in tree.items()
            if parent and parent.zone != name.split("-")[0].replace("h", "z")
        ]
        assert len(readers) == 1
        assert len(crossing) == zones - 1


def test_no_host_waits_for_itself_by_a_circle():
    every = hosts(3, 4)
    placement = weights.Placement.of(every, "m/1")
    for index in range(24):
        asked = {
            h.name: {
                c.name for c in weights.candidates(placement, index, h.name)
            }
            for h in every
        }
        for name, others in asked.items():
            assert all(name not in asked[other] for other in others)


def test_uploads_are_balanced_over_the_chunks():
    every = hosts(3, 8)
    uploads: collections.Counter = collections.Counter()
    for tree in parents(every, 72):
        uploads.update(p.name for p in tree.values() if p is not None)
    mean = sum(uploads.values()) / len(every)
    assert max(uploads.values()) <= 1.05 * mean


def test_all_hosts_agree_whatever_the_order_of_the_list():
    every = hosts(2, 3)
    forward = weights.Placement.of(every, "m/1")
    backward = weights.Placement.of(every[::-1], "m/1")
    assert forward == backward


@pytest.mark.parametrize(("zones", "per_zone"), [(1, 4), (2, 2), (3, 4)])
def test_who_reads_for_a_host_that_is_away_is_asked_on_its_return(
    zones, per_zone
):
    every = hosts(zones, per_zone)
    placement = weights.Placement.of(every, "m/1")
    for index in range(24):
        first = placement.order(index)[0][0]
        away = [h for h in every if h is not first]
        (reader,) = [
            h
            for h in away
            if not weights.candidates(
                weights.Placement.of(away, "m/1"), index, h.name
            )
        ]
        holders = weights.former_life(placement, index, first.name)
        assert reader in holders
        assert len(holders) <= 2


def test_only_the_first_host_of_a_chunk_looks_for_a_former_life():
    every = hosts(2, 3)
    placement = weights.Placement.of(every, "m/1")
    for index in range(12):
        first = placement.order(index)[0][0]
        for host in every:
            found = weights.former_life(placement, index, host.name)
            assert bool(found) == (host is first)
    (alone,) = hosts(1, 1)
    placement = weights.Placement.of([alone], "m/1")
    assert weights.former_life(placement, 0, alone.name) == []
