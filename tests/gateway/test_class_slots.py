"""Classes of different urgency that compete for the slots of engines."""

import json
import pathlib
import subprocess
import sys

import pytest

from zinniadyke.gateway import _class_record
from zinniadyke.gateway import _demand
from zinniadyke.gateway import _reservation
from zinniadyke.gateway import _urgency
from zinniadyke.gateway import _waits

ROOT = pathlib.Path(__file__).parents[2]
# From the users: a class must not be served less often than a less urgent
# one by more, and each at least this part as often as all together.
MAX_INVERSION = 0.05
MIN_SERVED_RATIO_TO_ALL = 0.25


def play(seed):
    """Play the load in a separate process, as it needs virtual time."""
    process = subprocess.run(
        [sys.executable, "-W", "ignore", "-m", "zinniadyke", "bench"]
        + ["placement", "--classes", "shares", "--seed", str(seed)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=300,
        check=False,
    )
    return json.loads(process.stdout)["rows"]


def served(shares):
    return shares["in_time"] + shares["late"]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_class_is_served_less_often_than_a_less_urgent_one(seed):
    """Guards against admission of those that can wait before urgent ones."""
    for row in play(seed):
        by_class = [served(row["classes"][p]) for p in ("0", "1", "2")]
        for urgent, below in ((0, 1), (0, 2), (1, 2)):
            assert by_class[urgent] >= by_class[below] - MAX_INVERSION, row
        least = MIN_SERVED_RATIO_TO_ALL * served(row["total"])
        assert min(by_class) >= least, row


def test_workspace_goes_before_route():
    def urgency(workspace, route):
        return _urgency.Urgency(workspace=workspace, route=route)

    assert urgency(1, 2) < urgency(2, 0)
    assert urgency(1, 0) < urgency(1, 2)


def test_reservation_follows_urgent_arrivals_only():
    """A burst of low classes must not change what is left free for others."""

    def reserved(demand, priority):
        return _reservation.reserved_slots(
            demand, priority, slots=10, mean_response_s=1.0
        )

    assert reserved({0: 4.0, 1: 3.0}, 0) == 0.0
    assert reserved({2: 500.0}, 2) == 0.0
    assert reserved({0: 4.0, 2: 1.0}, 2) == pytest.approx(0.8)
    assert reserved({0: 4.0, 2: 500.0}, 2) == pytest.approx(0.8)


def test_class_that_stopped_is_no_longer_in_demand(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(_demand.time, "monotonic", lambda: now[0])
    demand = _demand.Demand()
    for _ in range(20):
        demand.record(None, 0)
    demand.record(None, 2)
    assert demand.per_s() == {(None, 0): 10.0, (None, 2): 0.5}
    now[0] += _demand.WINDOW_S * 1.5
    demand.record(None, 2)
    assert demand.per_s() == {(None, 0): 5.0, (None, 2): 0.75}
    now[0] += _demand.WINDOW_S
    assert demand.per_s() == {(None, 2): 0.25}


def test_starving_class_is_short():
    record = _class_record.ClassRecord()
    for number in range(100):
        record.record_arrival(0)
        record.record_arrival(2)
        record.record_admission(0)
        if number % 10 == 0:
            record.record_admission(2)
    assert record.is_short(2)
    assert not record.is_short(0)
    for _ in range(20):
        record.record_admission(2)
    assert not record.is_short(2)


def test_expected_wait_counts_more_urgent_arrivals():
    """Guards against low classes that wait until their time is over."""
    waits = _waits.Waits()
    waits.completion_times.extend([_waits.time.monotonic()] * 20)
    assert waits.slot_wait_s(2) == pytest.approx(0.3)
    assert waits.slot_wait_s(2, more_urgent_per_s=7.0) == pytest.approx(1.0)
    assert waits.slot_wait_s(
        2, more_urgent_per_s=50.0, least_part=0.1
    ) == pytest.approx(3.0)
