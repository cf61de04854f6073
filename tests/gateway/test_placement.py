"""Targets behind links that are congested or cut off."""

import collections

from zinniadyke import directory
from zinniadyke.gateway import _placement
from zinniadyke.gateway import _report_delay
from zinniadyke.gateway import _target_state
from zinniadyke import ids


def make_state(name, load=0):
    state = _target_state.TargetState(
        target=directory.Target(
            id=ids.TargetId(name),
            service="s",
            address=f"{name}:1",
            zone="z",
            slots=8,
            leaving=False,
            born_ms=1,
            weights={},
        )
    )
    state.record_load(load, 0)
    state.agent_reported_at = _target_state.time.monotonic()
    return state


def choose(states, has_free_slot=lambda state: True):
    return _placement.choose_target(
        states, lambda zone: 0.0, has_free_slot, mean_response_s=1.0
    )


def test_delay_is_that_beyond_the_fastest_report():
    delay = _report_delay.ReportDelay()
    # The clocks differ by 1000 s; a report takes 10 ms at best.
    for number, late_s in enumerate((0.02, 0.01, 0.5, 1.5)):
        delay.record(number, 1000 + number + late_s)
    assert round(delay.delay_s, 3) == 1.49
    delay.record(9, 1009.01)
    assert round(delay.delay_s, 3) == 0.0


def test_base_of_the_delay_follows_a_clock_that_shifts():
    """A host was suspended: all later reports look delayed by that time."""
    delay = _report_delay.ReportDelay()
    for second in range(100):
        shift_s = 5.0 if second >= 10 else 0.0
        delay.record(second - shift_s, 1000 + second)
    assert delay.delay_s == 0.0


def test_requests_avoid_a_congested_link():
    """Its target looks idle, as requests have not arrived there yet."""
    congested, busy = make_state("t1"), make_state("t2", load=4)
    congested.report_delay.delay_s = 1.0
    chosen = collections.Counter(
        choose([congested, busy]).target.id for _ in range(50)
    )
    assert chosen == {"t2": 50}


def test_requests_avoid_a_target_whose_agent_is_silent():
    silent, busy = make_state("t1"), make_state("t2", load=4)
    silent.agent_reported_at -= _target_state.SILENT_AFTER_S
    assert choose([silent, busy]) is busy


def test_slots_behind_a_congested_link_are_used_when_no_others_are_free():
    congested, full = make_state("t1"), make_state("t2", load=8)
    congested.report_delay.delay_s = 1.0
    assert choose([congested, full], lambda s: s is congested) is congested


def test_usual_jitter_changes_nothing():
    first, second = make_state("t1"), make_state("t2", load=2)
    first.report_delay.delay_s = 0.09
    assert choose([first, second]) is first
