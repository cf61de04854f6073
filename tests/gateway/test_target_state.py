import pytest

from tests import clock
from zinniadyke import directory
from zinniadyke.gateway import _placement
from zinniadyke.gateway import _target_state


@pytest.fixture
def fake_clock(monkeypatch):
    stopped = clock.Clock()
    monkeypatch.setattr(_target_state.time, "monotonic", stopped.monotonic)
    return stopped


def make(name="t", zone="z1", slots=16):
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
    state = make()
    state.in_flight = 2
    state.record_load(8, 1)
    state.in_flight = 4
    assert state.load == 11
    state.in_flight = 1
    assert state.load == 8
    fake_clock.now += _target_state.REPORT_MAX_AGE_S + 0.1
    assert state.load == 1


def test_entries_share_the_free_places_of_a_target(fake_clock):
    """All entries see the same report; together they do not overfill."""
    for reported in (0, 10, 15, 16):
        taken = []
        for _ in range(400):
            states = [make() for _ in range(5)]
            for state in states:
                state.entries = 5
                state.record_load(reported, 0)
            taken.append(sum(s.free_slots for s in states))
        free = 16 + _target_state.MAX_ENGINE_QUEUE - reported
        assert abs(sum(taken) / len(taken) - free) < 0.35


def test_place_that_an_own_request_leaves_may_be_taken_again(fake_clock):
    state = make()
    state.in_flight = 3
    state.entries = 5
    state.record_load(17, 0)
    assert state.free_slots == 0
    state.in_flight = 2
    assert state.free_slots == 1


def test_target_rests_after_failures_and_comes_back(fake_clock):
    state = make()
    assert not state.record_failure()
    assert state.record_failure()
    assert state.ejected
    fake_clock.now += _target_state.EJECTION_MIN_S + 0.01
    assert not state.ejected
    state.record_failure()
    assert state.ejected
    state.record_success()
    assert not state.ejected


def test_near_target_goes_first_unless_it_is_busier():
    zone_penalty = _placement.zone_penalties("z1", {"z1": "r1", "z2": "r2"})
    near, far = make("near"), make("far", zone="z2")

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


def test_target_about_to_switch_takes_what_no_other_can(fake_clock):
    zone_penalty = _placement.zone_penalties("z1", {"z1": "r1", "z2": "r1"})
    near, far = make("near"), make("far", zone="z2")

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
    # Due in a fifth of the time that an answer takes.
    near.switches_at = fake_clock.now + 0.2
    far.in_flight = 5
    assert {choose_target() for _ in range(50)} == {far}
    far.in_flight = far.request_capacity
    assert choose_target() is near
