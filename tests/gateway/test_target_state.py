import pytest

from tests import clock
from zinniadyke import directory
from zinniadyke.gateway import _placement
from zinniadyke.gateway import _target_state


@pytest.fixture
def fake_clock(monkeypatch):
    manual_clock = clock.Clock()
    monkeypatch.setattr(
        _target_state.time, "monotonic", manual_clock.monotonic
    )
    return manual_clock


def make_state(name="t", zone="z1", slots=16):
    return _target_state.TargetState(
        target=directory.Target(
            id=name,
            service="s",
            address="1.2.3.4:5",
            zone=zone,
            slots=slots,
            leaving=False,
            born_ms=0,
            weights={},
        )
    )


def test_load_counts_own_requests_since_the_report(fake_clock):
    state = make_state()
    state.in_flight = 2
    state.record_load(8, 1)
    state.in_flight = 4
    assert state.load == 11
    state.in_flight = 1
    assert state.load == 8
    fake_clock.now += _target_state.REPORT_MAX_AGE_S + 0.1
    assert state.load == 1


def test_entries_share_the_free_slots_of_a_target(fake_clock):
    """Entries with the same report use its free slots once in total."""
    for reported in (0, 10, 15, 16):
        taken = []
        for _ in range(400):
            states = [make_state() for _ in range(5)]
            for state in states:
                state.entries = 5
                state.record_load(reported, 0)
            taken.append(sum(s.free_slots for s in states))
        free = 16 + _target_state.MAX_ENGINE_QUEUE - reported
        assert abs(sum(taken) / len(taken) - free) < 0.35


def test_slot_freed_by_an_own_request_is_reusable(fake_clock):
    state = make_state()
    state.in_flight = 3
    state.entries = 5
    state.record_load(17, 0)
    assert state.free_slots == 0
    state.in_flight = 2
    assert state.free_slots == 1


def test_target_is_ejected_after_failures_and_returns(fake_clock):
    state = make_state()
    assert not state.record_failure()
    assert state.record_failure()
    assert state.ejected
    fake_clock.now += _target_state.EJECTION_MIN_S + 0.01
    assert not state.ejected
    state.record_failure()
    assert state.ejected
    state.record_success()
    assert not state.ejected


def test_near_target_is_preferred_unless_it_is_busier():
    zone_penalty = _placement.zone_penalties("z1", {"z1": "r1", "z2": "r2"})
    near, far = make_state("near"), make_state("far", zone="z2")

    def choose_target(candidates, has_free_slot=lambda _: True):
        return _placement.choose_target(
            candidates, zone_penalty, has_free_slot, mean_response_s=1.0
        )

    assert {choose_target([far, near]).target.id for _ in range(50)} == {
        "near"
    }
    near.in_flight = 4
    assert choose_target([far, near]) is far
    assert choose_target([far], lambda _: False) is None


def test_target_about_to_switch_is_used_if_others_are_full(fake_clock):
    zone_penalty = _placement.zone_penalties("z1", {"z1": "r1", "z2": "r1"})
    near, far = make_state("near"), make_state("far", zone="z2")

    def choose_target():
        return _placement.choose_target(
            [near, far],
            zone_penalty,
            lambda s: s.free_slots > 0,
            mean_response_s=1.0,
        )

    near.switches_at = fake_clock.now + 5.0
    far.in_flight = 1
    assert {choose_target() for _ in range(50)} == {near}
    # The switch is due in a fifth of the mean response time.
    near.switches_at = fake_clock.now + 0.2
    far.in_flight = 5
    assert {choose_target() for _ in range(50)} == {far}
    far.in_flight = far.request_capacity
    assert choose_target() is near


def test_limit_holds_until_an_answer_asked_for_later_names_none(fake_clock):
    state = make_state()
    state.record_limit(2.0)
    state.record_no_limit(fake_clock.now - 0.2)
    assert state.limit_per_s == 2.0
    fake_clock.now += 1.0
    state.record_no_limit(fake_clock.now - 0.2)
    assert state.limit_per_s is None


def test_agents_report_ends_only_a_limit_that_it_named(fake_clock):
    state = make_state()
    state.record_limit(2.0)
    fake_clock.now += 5.0
    state.record_agent_limit(None)
    assert state.limit_per_s == 2.0
    state.record_agent_limit(1.0)
    assert state.limit_per_s == 1.0
    fake_clock.now += 0.1
    state.record_agent_limit(None)
    assert state.limit_per_s == 1.0
    fake_clock.now += 1.0
    state.record_agent_limit(None)
    assert state.limit_per_s is None
