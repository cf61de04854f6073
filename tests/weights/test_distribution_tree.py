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


def parents(all_hosts, chunks, copies=1):
    """Yield, per chunk, each host's first candidate; None is the origin."""
    placement = weights.Placement.of(all_hosts, "m/1")
    for index in range(chunks):
        yield {
            host.name: next(
                iter(weights.candidates(placement, index, host.name, copies)),
                None,
            )
            for host in all_hosts
        }


@pytest.mark.parametrize(("zones", "per_zone"), [(1, 1), (3, 2), (4, 6)])
def test_origin_is_read_once_and_each_other_zone_gets_one_copy(
    zones, per_zone
):
    all_hosts = hosts(zones, per_zone)
    for tree in parents(all_hosts, 12):
        readers = [name for name, parent in tree.items() if parent is None]
        crossing = [
            name
            for name, parent in tree.items()
            if parent and parent.zone != name.split("-")[0].replace("h", "z")
        ]
        assert len(readers) == 1
        assert len(crossing) == zones - 1


def test_no_two_hosts_wait_for_each_other():
    all_hosts = hosts(3, 4)
    placement = weights.Placement.of(all_hosts, "m/1")
    for index in range(24):
        candidates_by_host = {
            h.name: {
                c.name for c in weights.candidates(placement, index, h.name)
            }
            for h in all_hosts
        }
        for name, others in candidates_by_host.items():
            assert all(
                name not in candidates_by_host[other] for other in others
            )


def test_uploads_are_balanced_over_the_chunks():
    all_hosts = hosts(3, 8)
    uploads: collections.Counter = collections.Counter()
    for tree in parents(all_hosts, 72):
        uploads.update(p.name for p in tree.values() if p is not None)
    mean = sum(uploads.values()) / len(all_hosts)
    assert max(uploads.values()) <= 1.05 * mean


def test_placement_does_not_depend_on_the_order_of_hosts():
    all_hosts = hosts(2, 3)
    forward = weights.Placement.of(all_hosts, "m/1")
    backward = weights.Placement.of(all_hosts[::-1], "m/1")
    assert forward == backward


@pytest.mark.parametrize(("zones", "per_zone"), [(1, 4), (2, 2), (3, 4)])
def test_restarted_host_asks_the_host_that_read_in_its_place(zones, per_zone):
    all_hosts = hosts(zones, per_zone)
    placement = weights.Placement.of(all_hosts, "m/1")
    for index in range(24):
        first = placement.order(index)[0][0]
        away = [h for h in all_hosts if h is not first]
        (reader,) = [
            h
            for h in away
            if not weights.candidates(
                weights.Placement.of(away, "m/1"), index, h.name
            )
        ]
        holders = weights.holders_after_restart(placement, index, first.name)
        assert reader in holders
        assert len(holders) <= 2


def test_only_the_first_host_of_a_chunk_has_holders_after_restart():
    all_hosts = hosts(2, 3)
    placement = weights.Placement.of(all_hosts, "m/1")
    for index in range(12):
        first = placement.order(index)[0][0]
        for host in all_hosts:
            found = weights.holders_after_restart(placement, index, host.name)
            assert bool(found) == (host is first)
    (alone,) = hosts(1, 1)
    placement = weights.Placement.of([alone], "m/1")
    assert weights.holders_after_restart(placement, 0, alone.name) == []
