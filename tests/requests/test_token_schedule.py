import hypothesis
from hypothesis import strategies as st
import pytest

from zinniadyke import requests

WINDOW_S = 4.0


def allowed(limit_per_s):
    """Return the stated bound of requests in a window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def most_in_window(times):
    return max(
        (sum(t <= at < t + WINDOW_S for at in times) for t in times),
        default=0,
    )


@hypothesis.given(
    limit_per_s=st.floats(0.1, 50.0),
    gaps=st.lists(st.floats(0.0, 6.0), max_size=60),
    burst=st.integers(1, 40),
)
@hypothesis.settings(derandomize=True, max_examples=100)
def test_schedule_keeps_the_limit_after_quiet_times_too(
    limit_per_s, gaps, burst
):
    now = 100.0
    schedule = requests.TokenSchedule(
        rate_per_s=limit_per_s, now=now, keeps_phase=False
    )
    taken = []
    for gap in gaps:
        now += gap
        taken += [now] * sum(schedule.take(now) for _ in range(burst))
    assert most_in_window(taken) <= allowed(limit_per_s)


@pytest.mark.parametrize("entries", [1, 5, 35])
@pytest.mark.parametrize("limit_per_s", [0.5, 2.0, 20.0])
def test_shares_of_all_entries_together_keep_the_limit_on_average(
    entries, limit_per_s
):
    shares = [
        requests.TokenSchedule(
            rate_per_s=limit_per_s / entries, now=0.0, keeps_phase=True
        )
        for _ in range(entries)
    ]
    seconds = 400
    taken = 0
    for step in range(seconds * 10):
        for share in shares:
            while share.take(step / 10):
                taken += 1
    assert taken <= limit_per_s * seconds + entries
    assert taken >= 0.9 * limit_per_s * seconds - entries


def test_quiet_shares_are_not_all_due_at_once():
    """After an hour without requests 35 entries get one each."""
    shares = [
        requests.TokenSchedule(rate_per_s=1 / 35, now=0.0, keeps_phase=True)
        for _ in range(35)
    ]
    now = 3600.0
    assert sum(share.take(now) for share in shares) <= allowed(1.0)


def test_new_rate_keeps_the_part_of_an_interval_that_has_passed():
    schedule = requests.TokenSchedule(
        rate_per_s=1.0, now=0.0, keeps_phase=False
    )
    assert schedule.take(0.0)
    schedule.set_rate(0.5, 0.5)
    assert schedule.next_in_s(0.5) == 1.0
    schedule.set_rate(5.0, 0.5)
    assert schedule.next_in_s(0.5) == pytest.approx(0.1)
