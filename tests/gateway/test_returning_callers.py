import types

import pytest

from tests import clock
from zinniadyke.bench import _placement_fleet
from zinniadyke.gateway import _call
from zinniadyke.gateway import _returning_callers
from zinniadyke import reports

OBJECTIVE_S = 0.4


@pytest.fixture
def fake_clock(monkeypatch):
    manual_clock = clock.Clock()
    for module in (_returning_callers, _call):
        monkeypatch.setattr(module.time, "monotonic", manual_clock.monotonic)
    monkeypatch.setattr(
        _returning_callers.eventlet, "spawn_after", lambda s, task: None
    )
    return manual_clock


def returning_callers(sent):
    found = _returning_callers.ReturningCallers(relays=lambda: ["10.0.0.1"])
    found.send = lambda message, host_ip: sent.append(message)
    return found


def call(now, deadline_s, content="content:a"):
    return _call.Call(
        request=types.SimpleNamespace(arrived_at=now),
        id="q",
        route=_placement_fleet.ROUTE,
        service="s",
        workspace=None,
        priority=1,
        deadline=now + deadline_s,
        caller_deadline=now + deadline_s,
        objective_at=now + OBJECTIVE_S,
        model="m",
        content=content,
        last_event_id="",
    )


def refuse_at_one_and_return_to_other(fake_clock, returned):
    """Return a call that comes to another entry 1.5 s after a refusal."""
    sent = []
    one, other = returning_callers(sent), returning_callers([])
    one.record_refusal(call(fake_clock.now, 5.5))
    fake_clock.now += 0.1
    one.send_refused()
    for message in sent:
        other.handle_refused(reports.decode(reports.encode(message)), "")
    fake_clock.now += 1.4
    found = returned(fake_clock.now)
    other.recognize(found)
    return found


def test_caller_that_returns_to_another_entry_has_waited(fake_clock):
    """Its objective would count anew, and it took the slot of another."""
    found = refuse_at_one_and_return_to_other(
        fake_clock, lambda now: call(now, 3.98)
    )
    assert found.waited_s == pytest.approx(1.5, abs=0.01)
    assert found.objective_at == pytest.approx(
        fake_clock.now - 1.5 + OBJECTIVE_S, abs=0.01
    )


@pytest.mark.parametrize(
    "returned",
    [
        pytest.param(lambda now: call(now, 5.5), id="another_deadline"),
        pytest.param(
            lambda now: call(now, 4.0, "content:b"), id="another_content"
        ),
    ],
)
def test_new_caller_is_not_taken_for_a_refused_one(fake_clock, returned):
    """Equal requests of different callers must keep their objectives."""
    found = refuse_at_one_and_return_to_other(fake_clock, returned)
    assert found.waited_s == 0.0


def test_refused_caller_is_recognized_once(fake_clock):
    """An equal request with the same deadline is another caller's."""
    callers = returning_callers([])
    callers.record_refusal(call(fake_clock.now, 5.0))
    first, second = (call(fake_clock.now, 5.0) for _ in range(2))
    callers.recognize(first)
    callers.recognize(second)
    assert callers.refused == {} and callers.count == 0


def test_memory_of_refused_callers_is_bounded(fake_clock):
    """An overload of hours must not fill the entry's memory."""
    callers = returning_callers([])
    for number in range(_returning_callers.MAX_REMEMBERED + 100):
        callers.record_refusal(call(fake_clock.now, 5.0, f"content:{number}"))
    assert callers.count == _returning_callers.MAX_REMEMBERED
    assert len(callers.refused) == _returning_callers.MAX_REMEMBERED
