"""Demand that entries and agents tell, and what holds without it."""

import time

import eventlet
import msgspec
import pytest

from tests import clock
from tests.gateway import deployment as deploy
from zinniadyke.bench import _placement_fleet
from zinniadyke import directory
from zinniadyke import errors
from zinniadyke.gateway import _load_listener
from zinniadyke.gateway import _request_work
from zinniadyke.gateway import _reservation
from zinniadyke.gateway import _target_state
from zinniadyke.gateway import admission
from zinniadyke import ids
from zinniadyke import platform
from zinniadyke import reports
from zinniadyke.sidecar import _load_reporter

SLOTS = 2
REGIONS = {"z1": "r1", "z2": "r2"}
ROUTE = _placement_fleet.ROUTE
URGENT = msgspec.structs.replace(ROUTE, name="urgent", priority=0)
DEMAND = {0: 6.0, 1: 2.0}


class Entry:
    """Admission of one entry, with a target in each of two regions."""

    def __init__(self, *, routes=(ROUTE, URGENT)):
        view = directory.View()
        view.set_configuration(
            directory.ServingConfiguration(
                version=1,
                routes=directory.index_routes(list(routes)),
                services={
                    ROUTE.backends[0].service: directory.Service(
                        name=ROUTE.backends[0].service,
                        max_connections=9,
                        engine=msgspec.structs.replace(
                            _placement_fleet.PROFILE, slots=SLOTS
                        ),
                    )
                },
                limits=directory.CallerLimits(),
                workspaces=None,
            )
        )
        view.set_targets(
            {
                zone: directory.Target(
                    id=zone,
                    service=ROUTE.backends[0].service,
                    address=f"{zone}:1",
                    zone=zone,
                    slots=SLOTS,
                    leaving=False,
                    born_ms=0,
                    weights={"m": 1},
                )
                for zone in REGIONS
            }
        )
        self.table = admission.TargetTable(
            view=view, version_bound_s=8.0, regions=REGIONS
        )
        self.admission = admission.Admission(
            target_table=self.table,
            service=ROUTE.backends[0].service,
            zone_penalty=lambda zone: 0.0,
        )
        for state in self.table.states.values():
            state.record_load(0, 0)

    def acquire(self, route=ROUTE, region=None, objective_s=5.0):
        return self.admission.acquire(self.call(route, region, objective_s))

    def call(self, route=ROUTE, region=None, objective_s=5.0, **more):
        now = time.monotonic()
        return admission.Call(
            request=None,
            id=ids.RequestId("q"),
            route=route,
            service=ROUTE.backends[0].service,
            workspace=None,
            priority=route.priority,
            deadline=now + 6.0,
            objective_at=now + objective_s,
            model="m",
            allowed_regions=region and frozenset([region]),
            configuration=self.table.view.configuration,
            last_event_id="",
            tried=[],
            **more,
        )

    def waiting_lanes(self):
        """Return whether each lane in which requests wait is late."""
        return [lane.late for lane in self.admission.queue.waiting_by_lane]


def test_requests_of_different_regions_do_not_block_one_another():
    """A slot of one region must not wait for a request of another."""
    entry = Entry()
    for region in ("r1", "r1", "r2", "r2"):
        entry.acquire(region=region)
    entry.admission.completion_times.extend([time.monotonic()] * 20)
    served = []
    for region in ("r1", "r1", "r2"):
        eventlet.spawn(
            lambda r: served.append(entry.acquire(region=r).target.zone),
            region,
        )
    eventlet.sleep(0.01)
    entry.admission.release(entry.table.states["z2"])
    eventlet.sleep(0.01)
    assert served == ["z2"]
    assert len(entry.admission.queue) == 2
    entry.admission.release(entry.table.states["z1"])
    eventlet.sleep(0.01)
    assert served == ["z2", "z1"]


def test_expected_wait_is_that_of_the_scope():
    """Those that wait for one region do not lengthen the wait for another."""
    entry = Entry()
    for region in ("r1", "r1", "r2", "r2"):
        entry.acquire(region=region)
    # One completion a second in each region.
    entry.admission.completion_times.extend([time.monotonic()] * 4)
    tasks = [eventlet.spawn(entry.acquire, ROUTE, "r1", 9.0) for _ in range(3)]
    eventlet.sleep(0.01)
    with pytest.raises(errors.RequestError):
        entry.acquire(region="r1", objective_s=2.0)
    tasks.append(eventlet.spawn(entry.acquire, ROUTE, "r2", 2.0))
    eventlet.sleep(0.01)
    assert len(entry.admission.queue) == 4
    for task in tasks:
        task.kill()


def test_reserved_slot_is_taken_by_an_urgent_arrival_that_finds_others():
    entry = Entry()
    for state in entry.table.states.values():
        state.record_demand({0: 6.0, 1: 2.0}, None)
    low = [eventlet.spawn(entry.acquire) for _ in range(2 * SLOTS)]
    eventlet.sleep(0.01)
    assert len(entry.admission.queue) > 0
    free = sum(s.free_slots for s in entry.table.states.values())
    assert free > 0
    entry.acquire(route=URGENT)
    assert sum(s.free_slots for s in entry.table.states.values()) == free - 1
    for task in low:
        task.kill()


def test_routes_of_one_priority_leave_nothing_free_and_tell_no_demand():
    entry = Entry(routes=[ROUTE])
    for state in entry.table.states.values():
        state.record_demand(DEMAND, None)
    for _ in range(2 * SLOTS):
        entry.acquire()
    assert entry.admission.demand_by_target() == {}


def test_demand_counts_targets_of_the_scope():
    entry = Entry()
    entry.acquire(region="r1")
    entry.acquire(route=URGENT)
    found = entry.admission.demand_by_target()
    assert found["z1"][1] == 2 * found["z1"][0] > 0
    assert found["z2"] == {0: found["z1"][0]}


def test_shares_follow_demand_and_add_up_to_the_free_slots():
    own = ({0: 6.0}, {1: 2.0}, {})
    parts = [_reservation.slot_part(d, DEMAND, 3) for d in own]
    assert sum(parts) == pytest.approx(1.0)
    assert parts[0] > parts[1] > parts[2] > 0
    assert _reservation.slot_part({0: 6.0}, {0: 9.0}, 3) is None


@pytest.fixture
def fake_clock(monkeypatch):
    manual_clock = clock.Clock()
    monkeypatch.setattr(
        _target_state.time, "monotonic", manual_clock.monotonic
    )
    return manual_clock


def test_reports_without_demand_give_equal_shares_and_no_reservation(
    fake_clock,
):
    state = next(iter(Entry().table.states.values()))
    state.record_demand(DEMAND, 0.7)
    state.record_load(0, 0)
    assert state.known_demand == DEMAND
    fake_clock.now += _target_state.DEMAND_MAX_AGE_S + 0.1
    assert state.known_demand == {}
    state.entries = SLOTS
    state.record_demand({}, _reservation.slot_part({0: 6.0}, {}, SLOTS))
    state.record_load(0, 0)
    assert state.free_slots == 1


def test_slots_of_a_silent_agent_count_by_own_requests(fake_clock):
    state = next(iter(Entry().table.states.values()))
    state.record_demand(DEMAND, 0.1)
    state.record_load(SLOTS, 0)
    fake_clock.now += _target_state.REPORT_MAX_AGE_S + 0.1
    assert state.free_slots == SLOTS
    state.in_flight = SLOTS
    assert state.free_slots == 0


def test_demand_of_an_entry_lapses_with_its_subscription(fake_clock):
    reporter = _load_reporter.LoadReporter(
        ip="127.0.0.1",
        port=deploy.free_port(),
        region="r1",
        address="a:1",
        target=platform.ModelServerClient(address="127.0.0.1:1"),
        view=directory.View(),
    )
    subscribe = reporter.handlers[reports.Subscribe]
    for name, demand in (
        ("a", {0: 2.0}),
        ("b", {0: 1.0, 1: 4.0}),
        ("c", {}),
        ("d", {0: float("nan"), 1: -5.0}),
    ):
        message = reports.Subscribe(entry=name, named={}, demand=demand)
        subscribe(reports.decode(reports.encode(message)), (name, 1))
    assert reporter._sum_demand() == {0: 3.0, 1: 4.0}
    fake_clock.now += _load_reporter.SUBSCRIPTION_TIMEOUT_S - 0.1
    subscribe(reports.Subscribe(entry="a", named={}, demand=DEMAND), ("a", 1))
    fake_clock.now += 0.2
    assert reporter._sum_demand() == DEMAND
    reporter.sock.close()


def test_agent_reports_the_demand_that_entries_tell():
    """Without demand at entries, datagrams are as before."""
    table = Entry().table
    port = deploy.free_port()
    view = table.view
    view.set_targets(
        {
            "z1": msgspec.structs.replace(
                view.targets["z1"], address="127.0.0.2:1"
            )
        }
    )
    reporter = _load_reporter.LoadReporter(
        ip="127.0.0.2",
        port=port,
        region="r1",
        address="127.0.0.2:1",
        target=platform.ModelServerClient(address="127.0.0.1:1"),
        view=directory.View(),
    )
    listener = _load_listener.LoadListener(
        name="e",
        region="r1",
        ip="127.0.0.1",
        port=port,
        view=view,
        target_table=table,
        on_report=lambda: None,
    )
    engine_report = platform.EngineReport(
        running=0,
        waiting=0,
        orders_begun=0,
        order_in_progress=False,
        born_ms=0,
        weights={"m": 1},
    )
    tasks = [
        eventlet.spawn(task)
        for task in (reporter.receive, listener.receive, listener.subscribe)
    ]
    state = table.states["z1"]

    def is_reported(demand):
        reporter.publish_report(engine_report)
        return reporter.subscribers and state.demand == demand

    assert deploy.wait_until(lambda: is_reported({}))
    assert state.slot_part is None
    listener.own_demand = lambda: {"127.0.0.2:1": DEMAND}
    listener.named.send()
    assert deploy.wait_until(lambda: is_reported(DEMAND))
    assert state.slot_part == pytest.approx(1.0)
    listener.own_demand = dict
    listener.named.send()
    assert deploy.wait_until(lambda: is_reported({}))
    for task in tasks:
        task.kill()
    reporter.sock.close()
    listener.sock.close()


@pytest.mark.parametrize(
    ("priorities", "expected"),
    [((0, 12), ["0", "9"]), ((1, 1), [None, None])],
)
def test_engine_is_told_the_priority_of_routes_that_differ(
    priorities, expected
):
    routes = [
        deploy.route(name, priority=priority)
        for name, priority in zip(("one", "two"), priorities, strict=True)
    ]
    spec = deploy.configuration(
        routes=routes,
        tenants=[{"name": "c", "api_keys": [deploy.KEY], "priority": 1}],
    )
    with deploy.deployment(lambda e: e.answer(), spec=spec) as system:
        system.ask("/one/x", X_Zinniadyke_Request_Priority="3")
        system.ask("/two/x")
        seen = system.targets[0].seen
    assert [
        s.headers.get("x-zinniadyke-request-priority") for s in seen
    ] == expected


def full_entry(completions):
    """Return an entry without free slots, at which some ended just now."""
    entry = Entry()
    for _ in range(2 * SLOTS):
        entry.acquire()
    entry.admission.completion_times.extend([time.monotonic()] * completions)
    return entry


def test_request_in_time_goes_before_one_that_is_late():
    """Late callers took the slots of those that could be answered in time."""
    entry = full_entry(completions=20)
    served = []
    for name, objective_s in (("late", -1.0), ("in time", 5.0)):
        eventlet.spawn(
            lambda n, s: served.append((n, entry.acquire(objective_s=s))),
            name,
            objective_s,
        )
        eventlet.sleep(0.01)
    for zone in REGIONS:
        entry.admission.release(entry.table.states[zone])
        eventlet.sleep(0.01)
    assert [name for name, _ in served] == ["in time", "late"]


def test_late_request_is_refused_at_once_if_no_slot_is_left():
    """It would wait until its deadline in vain."""
    entry = full_entry(completions=1)
    waiting = [eventlet.spawn(entry.acquire) for _ in range(4)]
    eventlet.sleep(0.01)
    started_at = time.monotonic()
    with pytest.raises(errors.RequestError) as raised:
        entry.acquire(objective_s=-1.0)
    assert time.monotonic() - started_at < 0.1
    assert raised.value.code is errors.ResultCode.QUEUE_FULL
    for task in waiting:
        task.kill()


def test_request_that_misses_its_objective_waits_on():
    """Refused, its caller came back as a new one."""
    entry = full_entry(completions=20)
    served = []
    eventlet.spawn(lambda: served.append(entry.acquire(objective_s=0.5)))
    eventlet.sleep(0.7)
    assert not served
    entry.admission.release(entry.table.states["z1"])
    eventlet.sleep(0.01)
    assert len(served) == 1


def test_request_waits_in_time_if_a_slot_may_come_in_time():
    """By the mean wait it counted as late where slots are seldom free."""
    # Two completions a second: a mean wait of 0.5 s, of which 0.3 s are left
    # after the time to the first event.
    entry = full_entry(completions=4)
    left_s = 0.3 + entry.admission.waits.mean_first_event_s * 1.3
    task = eventlet.spawn(entry.acquire, objective_s=left_s)
    eventlet.sleep(0.01)
    assert entry.waiting_lanes() == [False]
    task.kill()


def test_slow_first_events_do_not_make_new_requests_late():
    """All that arrived became late, so the targets did not recover."""
    entry = full_entry(completions=20)
    entry.admission.waits.mean_first_event_s = 2 * ROUTE.objective_s
    task = eventlet.spawn(entry.acquire, objective_s=ROUTE.objective_s)
    eventlet.sleep(0.01)
    assert entry.waiting_lanes() == [False]
    task.kill()


def test_late_requests_leave_slots_to_those_in_time():
    """A backlog of late requests took each slot as it became free."""
    entry = Entry(routes=(ROUTE,))
    for state in entry.table.states.values():
        state.record_slowness(1.0)
    # More arrive in time than slots become free until the next report.
    scope = entry.call().scope
    for _ in range(40):
        entry.admission.demand.record(scope, ROUTE.priority)
    late = eventlet.spawn(entry.acquire, objective_s=-1.0)
    eventlet.sleep(0.01)
    assert entry.waiting_lanes() == [True]
    assert entry.acquire().target.zone in REGIONS
    late.kill()


def test_classes_spread_prompts_over_equally_loaded_targets():
    """Prompts that are not processed yet delay one another at a target."""
    entry = Entry()
    entry.table.states["z1"].ensure_host_figures()
    entry.table.states["z2"].ensure_host_figures()
    entry.table.states["z1"].record_load(1, 0)
    entry.table.states["z2"].record_load(0, 1)
    profile = entry.table.view.configuration.services[
        ROUTE.backends[0].service
    ].engine
    call = entry.call(
        work=_request_work.RequestWork(engine=profile, prompt_tokens=2000)
    )
    states = list(entry.table.states.values())
    chosen = {
        entry.admission.slots.choose(
            call, states, lambda state: True, 1.0
        ).target.zone
        for _ in range(40)
    }
    assert chosen == {"z1"}
