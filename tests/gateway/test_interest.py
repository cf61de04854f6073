"""Which targets the entries of a large fleet use."""

import collections

import pytest

from tests import clock
from zinniadyke import directory
from zinniadyke.gateway import _entry_counter
from zinniadyke.gateway import _interest
from zinniadyke.gateway import _load_listener
from zinniadyke.gateway import _target_state
from zinniadyke import ids
from zinniadyke import reports

REGIONS = {f"z{n}": f"r{n}" for n in range(7)}


def make_target(number, region_count):
    return directory.Target(
        id=ids.TargetId(f"t{number}"),
        service="s",
        address=f"10.{number % region_count}.{number // 250}.{number % 250}:1",
        zone=f"z{number % region_count}",
        slots=8,
        leaving=False,
        born_ms=1,
        weights={"m": 1},
    )


def select(targets, entry, region, **more):
    return _interest.select_targets(
        targets, entry=entry, region=region, regions=REGIONS, **more
    )


def used_by_entries(targets, entry_count, region_count):
    """Return the targets that each entry uses."""
    return {
        f"e{n}": select(targets, f"e{n}", f"r{n % region_count}")
        for n in range(entry_count)
    }


def test_service_of_a_small_fleet_is_used_as_a_whole():
    targets = [make_target(n, 3) for n in range(_interest.MAX_WHOLE_SERVICE)]
    assert select(targets, "e1", "r1") == targets


@pytest.mark.parametrize(
    ("entry_count", "target_count", "region_count"),
    [(35, 60, 5), (35, 102, 5), (630, 2100, 7)],
)
def test_reports_grow_with_the_entries_not_with_the_square(
    entry_count, target_count, region_count
):
    targets = [make_target(n, region_count) for n in range(target_count)]
    used = used_by_entries(targets, entry_count, region_count)
    most = _interest.MAX_OWN_TARGETS + (
        _interest.TARGETS_PER_OTHER_REGION * (region_count - 1)
    )
    assert all(
        _interest.MIN_TARGETS <= len(found) <= most for found in used.values()
    )
    # Every target is used by several entries.
    users = collections.Counter(t.id for found in used.values() for t in found)
    assert len(users) == target_count
    assert min(users.values()) >= 2


def test_own_region_comes_first_and_others_are_there_to_spill_over():
    targets = [make_target(n, 5) for n in range(100)]
    found = select(targets, "e1", "r2")
    regions = collections.Counter(REGIONS[t.zone] for t in found)
    assert regions.pop("r2") == 20
    assert set(regions.values()) == {_interest.TARGETS_PER_OTHER_REGION}


def test_named_region_has_enough_used_targets_for_requests_bound_to_it():
    targets = [make_target(n, 5) for n in range(100)]
    found = select(targets, "e1", "r2", named_regions={"r2", "r3", "r9"})
    regions = collections.Counter(REGIONS[t.zone] for t in found)
    assert regions == {"r2": 20, "r3": 8, "r0": 2, "r1": 2, "r4": 2}


def test_evacuated_targets_are_used_only_if_there_are_no_others():
    """Used ones would leave an entry without targets that get requests."""
    targets = [make_target(n, 5) for n in range(100)]
    found = select(targets, "e1", "r2", evacuated_zones={"z2", "z3"})
    assert {t.zone for t in found} == {"z0", "z1", "z4"}
    assert len(found) == _interest.MIN_TARGETS
    everywhere = {t.zone for t in targets}
    found = select(targets, "e1", "r2", evacuated_zones=everywhere)
    assert found == select(targets, "e1", "r2")


def test_entry_whose_region_has_no_targets_uses_enough_of_others():
    targets = [make_target(n, 5) for n in range(100)]
    found = select(targets, "e1", "r6")
    assert len(found) == _interest.MIN_TARGETS


def test_loss_of_a_target_changes_the_choice_by_that_target_only():
    targets = [make_target(n, 7) for n in range(2100)]
    before = {t.id for t in select(targets, "e1", "r1")}
    lost = next(t for t in targets if t.id in before)
    after = {
        t.id for t in select([t for t in targets if t is not lost], "e1", "r1")
    }
    assert before - after == {lost.id}
    assert len(after - before) == 1


def make_states(targets, used, region_count):
    """Return the states of used targets with their agents' reports."""
    users = collections.defaultdict(set)
    for entry, found in used.items():
        for target in found:
            users[target.id].add(entry)
    states = []
    for target in targets:
        state = _target_state.TargetState(target=target)
        state.entries = len(users[target.id])
        region = REGIONS[target.zone]
        state.local_entries = sum(
            f"r{int(entry[1:]) % region_count}" == region
            for entry in users[target.id]
        )
        states.append(state)
    return states


@pytest.mark.parametrize(
    ("entry_count", "target_count", "region_count"),
    [(5, 6, 3), (12, 23, 3), (35, 60, 5), (35, 102, 5), (630, 2100, 7)],
)
def test_entries_that_share_the_retry_budget_are_not_undercounted(
    entry_count, target_count, region_count
):
    """Each entry hears of a part of the targets, but knows all entries."""
    targets = [make_target(n, region_count) for n in range(target_count)]
    used = used_by_entries(targets, entry_count, region_count)
    states = make_states(targets, used, region_count)
    known = {t.id for t in used["e1"]}
    for state in states:
        if state.target.id not in known:
            # This entry gets no reports of it.
            state.entries, state.local_entries = 1, 0
    counted = _entry_counter.count_entries(states, REGIONS)
    assert entry_count <= counted
    if target_count <= 102:
        assert counted == entry_count


def test_restarted_agents_do_not_lower_the_count_of_entries(monkeypatch):
    """An agent that starts learns of its entries one after the other."""
    manual_clock = clock.Clock()
    monkeypatch.setattr(_entry_counter, "time", manual_clock)
    state = _target_state.TargetState(target=make_target(0, 3))
    counter = _entry_counter.EntryCounter(states={"t0": state}, regions={})
    counts = []
    for known in (14, 1, 6, 14):
        state.entries = known
        manual_clock.now += 1.0
        counts.append(counter.count())
    assert counts == [14, 14, 14, 14]
    state.entries = 6
    for _ in range(12):
        manual_clock.now += 1.0
        last = counter.count()
    assert last == 6


def test_datagrams_do_not_grow_with_the_fleet():
    """With as many versions named as a process remembers."""
    named = {"m" * 20: {10**9 + n: 10**6 for n in range(16)}}
    subscription = reports.Subscribe(
        entry="front-cairo-hall-a-100", named=named, region="mansoura"
    )
    load = reports.LoadReport(
        address="255.255.255.255:65535",
        born_ms=10**13,
        running=10**6,
        waiting=10**6,
        entries=630,
        switching=True,
        switch_in_ms=10**6,
        weights={"m" * 20: 10**9},
        named=named,
        leaving=True,
        local_entries=630,
    )
    for message in (subscription, load):
        data = reports.encode(message)
        assert len(data) < _load_listener.MAX_DATAGRAM_BYTES
        assert reports.decode(data) == message
