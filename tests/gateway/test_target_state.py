import pytest

from tests import clock
from zinniadyke import directory
from zinniadyke.gateway import _placement
from zinniadyke.gateway import _target_state


@pytest.fixture
def moving(monkeypatch):
    found = clock.Clock()
    monkeypatch.setattr(_target_state.time, "monotonic", found.monotonic)
    return found


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


def test_load_counts_own_requests_since_the_report(moving):
    state = make()
    state.in_flight = 2
    state.record_load(8, 1)
    state.in_flight = 4
    assert state.load == 11
    state.in_flight = 1
    assert state.load == 8
    moving.now += _target_state.REPORT_LIFE_S + 0.1
    assert state.load == 1


def test_entries_share_the_free_places_of_a_target(moving):
    """All entries see the same report; together they do not overfill."""
    for reported in (0, 10, 15, 16):
        taken = []
        for _ in range(400):
            states = [make() for _ in range(5)]
            for state in states:
                state.entries = 5
                state.record_load(reported, 0)
            taken.append(sum(s.places for s in states))
        free = 16 + _target_state.ENGINE_QUEUE - reported
        assert abs(sum(taken) / len(taken) - free) < 0.35


def test_place_that_an_own_request_leaves_may_be_taken_again(moving):
    state = make()
    state.in_flight = 3
    state.entries = 5
    state.record_load(17, 0)
    assert state.places == 0
    state.in_flight = 2
    assert state.places == 1


def test_target_rests_after_failures_and_comes_back(moving):
    state = make()
    assert not state.record_failure()
    assert state.record_failure()
    assert state.resting
    moving.now += _target_state.REST_MIN_S + 0.01
    assert not state.resting
    state.record_failure()
    assert state.resting
    state.record_success()
    assert not state.resting


def test_near_target_goes_first_unless_it_is_busier():
    zone_penalty = _placement.zone_penalties("z1", {"z1": "r1", "z2": "r2"})
    near, far = make("near"), make("far", zone="z2")

    def choose(candidates, has_place=lambda _: True):
        return _placement.choose(
            candidates, zone_penalty, has_place, answer_s=1.0
        )

    assert {choose([far, near]).target.id for _ in range(50)} == {"near"}
    near.in_flight = 4
    assert choose([far, near]) is far
    assert choose([far], lambda _: False) is None


def test_target_about_to_switch_takes_what_no_other_can(moving):
    zone_penalty = _placement.zone_penalties("z1", {"z1": "r1", "z2": "r1"})
    near, far = make("near"), make("far", zone="z2")

    def choose():
        return _placement.choose(
            [near, far], zone_penalty, lambda s: s.places > 0, answer_s=1.0
        )

    near.switches_at = moving.now + 5.0
    far.in_flight = 1
    assert {choose() for _ in range(50)} == {near}
    # Due in a fifth of the time that an answer takes.
    near.switches_at = moving.now + 0.2
    far.in_flight = 5
    assert {choose() for _ in range(50)} == {far}
    far.in_flight = far.request_capacity
    assert choose() is near
