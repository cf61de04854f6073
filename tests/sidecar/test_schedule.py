import pytest

from zinniadyke.sidecar import _schedule

BOUND_S = 8.0
LEAD_TIME_S = 6.5


def choose(desired_since, held_version, complete=(), now=0.0):
    return _schedule.choose_version(
        desired_since,
        held_version,
        complete,
        now=now,
        bound_s=BOUND_S,
        lead_time_s=LEAD_TIME_S,
    )


def test_newest_is_fetched_if_ready_before_older_is_due():
    assert choose({2: 0.0, 3: 1.0}, held_version=1, now=1.0) == 3


def test_newer_version_named_soon_after_is_fetched_at_once():
    # Skipping 2 leaves 0.5 s without service, fetching it first 3 s.
    assert choose({2: 0.0, 3: 2.0}, held_version=1, now=2.0) == 3


def test_older_is_fetched_first_if_that_leaves_smaller_gap():
    # Skipping 2 leaves 2.5 s without service, fetching it first 1 s.
    assert choose({2: 0.0, 3: 4.0}, held_version=1, now=4.0) == 2


def test_newest_is_fetched_once_older_is_complete():
    assert choose({2: 0.0, 3: 4.0}, held_version=1, complete=[2], now=5.0) == 3


def test_overdue_older_version_is_skipped():
    assert choose({2: 0.0, 3: 4.0}, held_version=1, now=8.5) == 3


def test_target_without_weights_fetches_newest():
    assert choose({2: 0.0, 3: 4.0}, held_version=0, now=4.0) == 3


def test_chosen_version_does_not_change_as_time_passes():
    desired_since = {2: 0.0, 3: 2.0}
    chosen = {choose(desired_since, 1, now=n / 10) for n in range(20, 80)}
    assert chosen == {3}


def switch_at(position, count, bound_s=BOUND_S):
    return _schedule.switch_at(
        100.0,
        bound_s=bound_s,
        lead_time_s=LEAD_TIME_S,
        position=position,
        count=count,
    )


def test_targets_switch_one_after_another_before_the_bound():
    turns = [switch_at(n, 5) for n in range(5)]
    assert turns == sorted(turns)
    assert len(set(turns)) == 5
    assert turns[-1] == 100.0 + BOUND_S - _schedule.SWITCH_MARGIN_S
    assert switch_at(0, 1) == turns[-1]


def test_many_targets_spread_switches_over_spare_time():
    """Fewer switch at once, and none before its pieces can be fetched."""
    bound_s = BOUND_S + 4.0
    turns = [switch_at(n, 30, bound_s) for n in range(30)]
    assert turns[-1] == 100.0 + bound_s - _schedule.SWITCH_MARGIN_S
    assert turns[0] == pytest.approx(100.0 + LEAD_TIME_S)
    few = [switch_at(n, 3, bound_s) for n in range(3)]
    assert few[-1] - few[0] == pytest.approx(2 * _schedule.MAX_SWITCH_GAP_S)
