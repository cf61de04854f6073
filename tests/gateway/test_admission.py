import eventlet
import msgspec
import pytest

from zinniadyke.bench import _placement_fleet
from zinniadyke import directory
from zinniadyke import errors
from zinniadyke.gateway import _admission
from zinniadyke.gateway import admission
from zinniadyke import ids

SLOTS = 2
ENGINE = msgspec.structs.replace(_placement_fleet.PROFILE, slots=SLOTS)


@pytest.fixture
def full_admission():
    """Admission to one target that has no free slots."""
    view = directory.View()
    view.set_configuration(
        directory.ServingConfiguration(
            version=1,
            routes={},
            services={
                "s": directory.Service(
                    name="s", max_connections=9, engine=ENGINE
                )
            },
            limits=directory.CallerLimits(),
            workspaces=None,
        )
    )
    target = directory.Target(
        id="t",
        service="s",
        address="a:1",
        zone="z",
        slots=SLOTS,
        leaving=False,
        born_ms=0,
        weights={"m": 1},
    )
    view.set_targets({"t": target})
    target_table = admission.TargetTable(view=view, version_bound_s=8.0)
    controller = admission.Admission(
        target_table=target_table, service="s", zone_penalty=lambda z: 0.0
    )
    for _ in range(SLOTS):
        controller.acquire(call())
    return controller


def call(priority=1, objective_s=5.0):
    now = _admission.time.monotonic()
    return admission.Call(
        request=None,
        id=ids.RequestId("q"),
        route=_placement_fleet.ROUTE,
        service="s",
        workspace=None,
        priority=priority,
        deadline=now + 6.0,
        objective_at=now + objective_s,
        model="m",
        last_event_id="",
        tried=[],
    )


def test_request_waits_only_behind_equal_or_higher_priority(full_admission):
    """One request completes per second; three less urgent ones wait."""
    full_admission.completion_times.extend([_admission.time.monotonic()] * 2)
    waiting = [
        eventlet.spawn(full_admission.acquire, call(2)) for _ in range(3)
    ]
    eventlet.sleep(0.01)
    assert len(full_admission.queue) == 3
    with pytest.raises(errors.RequestError):
        full_admission.acquire(call(2, objective_s=2.0))
    urgent = eventlet.spawn(full_admission.acquire, call(1, objective_s=2.0))
    eventlet.sleep(0.01)
    assert len(full_admission.queue) == 4
    for task in (*waiting, urgent):
        task.kill()


def test_request_that_would_miss_its_objective_is_refused_at_once(
    full_admission,
):
    started = _admission.time.monotonic()
    with pytest.raises(errors.RequestError) as refused:
        full_admission.acquire(call(objective_s=0.1))
    assert _admission.time.monotonic() - started < 0.05
    assert refused.value.retry_after_s > 0


def test_late_request_takes_a_free_slot(full_admission):
    (state,) = full_admission.target_table.states.values()
    full_admission.release(state)
    assert full_admission.acquire(call(objective_s=-1.0)) is state


def test_repeats_keep_the_limit_of_a_target(full_admission):
    """They need no free slot, but a token."""
    (state,) = full_admission.target_table.states.values()
    asked = []
    full_admission.request_token = asked.append
    full_admission.acquire_for_retry(call())
    state.record_limit(2.0)
    with pytest.raises(errors.RequestError) as caught:
        full_admission.acquire_for_retry(call())
    assert caught.value.code is errors.ResultCode.NO_TARGET
    assert asked
    state.tokens.record_answer(granted=True, next_in_s=0.0)
    assert full_admission.acquire_for_retry(call()) is state
    assert not state.within_limit
