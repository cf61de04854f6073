"""Requests that may be served in some regions only."""

import time

import eventlet
import msgspec
import pytest

from tests.gateway import deployment as deploy
from zinniadyke.bench import _placement_fleet
from zinniadyke import directory
from zinniadyke import errors
from zinniadyke.gateway import _call
from zinniadyke.gateway import _crash_guard
from zinniadyke.gateway import _forward
from zinniadyke.gateway import _memory_budget
from zinniadyke.gateway import _target_table
from zinniadyke import ids
from zinniadyke import settings

REGIONS = {"z1": "r1", "z2": "r2"}
REGION_UNAVAILABLE = "3010"
ROUTES = [
    deploy.route("home", kind="idempotent", allowed_regions=["r1"]),
    deploy.route(
        "stream",
        kind="streaming",
        stream_resume=True,
        allowed_regions=["r1", "nowhere"],
    ),
    deploy.route("lost", allowed_regions=["nowhere"]),
    deploy.route("any", kind="idempotent"),
]


def answer(exchange):
    exchange.answer(200, b"done", Content_Type="text/plain")


def configuration(version=1, tenant_regions=()):
    tenant = {"name": "clinic", "api_keys": [deploy.KEY]}
    return deploy.configuration(
        version=version,
        routes=ROUTES,
        tenants=[{**tenant, "allowed_regions": list(tenant_regions)}],
    )


@pytest.fixture
def system():
    made = deploy.Deployment(regions=REGIONS)
    made.configure(configuration())
    yield made
    made.stop()


def test_retry_does_not_go_to_a_region_that_is_not_allowed(system):
    one = system.add_target(lambda exchange: exchange.reset())
    two = system.add_target(answer, zone="z2")
    system.start()
    assert system.ask("/home/x")[0] == 502
    assert len(one.seen) == 1
    assert not two.seen


def test_stream_does_not_resume_in_a_region_that_is_not_allowed(system):
    def stream(exchange):
        exchange.head(
            200, "Transfer-Encoding: chunked", Content_Type="text/event-stream"
        )
        exchange.chunk(b"id: 1\ndata: x\n\n")
        exchange.reset()

    one = system.add_target(stream)
    two = system.add_target(stream, zone="z2")
    system.start()
    _, _, data, complete = system.ask("/stream/x")
    assert b"id: 1" in data
    assert not complete
    assert len(one.seen) == 1
    assert not two.seen


def test_request_that_no_region_may_serve_is_refused_at_once(system, caplog):
    """It must not spill over, whether one list or both leave no region."""
    targets = system.add_target(answer), system.add_target(answer, zone="z2")
    system.start()
    for path in ("/lost/x", "/home/x"):
        started = time.monotonic()
        status, headers, _, _ = system.ask(path)
        assert time.monotonic() - started < 0.5
        assert (status, headers["Zinniadyke-Code"]) == (
            503,
            REGION_UNAVAILABLE,
        )
        assert 1.0 <= float(headers["Retry-After"]) <= 3.0
        assert not any(t.seen for t in targets)
        system.configure(configuration(version=2, tenant_regions=["r2"]))
        assert deploy.wait_until(
            lambda: system.gateway.view.configuration.version == 2
        )
    assert system.ask("/any/x")[0] == 200
    assert [len(t.seen) for t in targets] == [0, 1]
    logged = [r for r in caplog.records if "allowed regions" in r.message]
    assert [(r.version, r.regions) for r in logged] == [
        (1, ["nowhere"]),
        (2, ["nowhere"]),
    ]


def test_connection_made_before_a_new_list_is_not_used_after_it(
    system, monkeypatch
):
    """The new configuration arrives while the entry connects."""
    one = system.add_target(answer)
    system.start()
    serve = system.gateway.forwarder._why_not_send

    def serve_late(call, state):
        system.configure(configuration(version=2, tenant_regions=["r2"]))
        deploy.wait_until(
            lambda: system.gateway.view.configuration.version == 2
        )
        return serve(call, state)

    monkeypatch.setattr(system.gateway.forwarder, "_why_not_send", serve_late)
    status, headers, _, _ = system.ask("/any/x")
    assert (status, headers["Zinniadyke-Code"]) == (503, REGION_UNAVAILABLE)
    assert not one.seen


class FullService:
    """A forwarder to engines in two zones, none of which has a free slot."""

    def __init__(self):
        self.view = directory.View()
        self.configure(1, None)
        self.view.set_targets(
            {
                zone: directory.Target(
                    id=zone,
                    service="s",
                    address=f"{zone}:1",
                    zone=zone,
                    slots=1,
                    leaving=False,
                    born_ms=0,
                    weights={"m": 1},
                )
                for zone in REGIONS
            }
        )
        table = _target_table.TargetTable(
            view=self.view, version_bound_s=8.0, regions=REGIONS
        )
        forwarder = _forward.Forwarder(
            view=self.view,
            target_table=table,
            zone_penalty=lambda zone: 0.0,
            regions=REGIONS,
            bounds=settings.BoundsSection(),
            crash_guard=_crash_guard.CrashGuard(
                name="e", region="r1", regions=REGIONS, target_table=table
            ),
            memory=_memory_budget.ProcessMemory(memory_mb=0.0),
        )
        self.admission = forwarder._admission("s")
        self.states = [self.admission.acquire(self.call()) for _ in REGIONS]
        # Waiting requests expect to be served in time.
        self.admission.completion_times.extend([time.monotonic()] * 20)

    def route(self, regions):
        return msgspec.structs.replace(
            _placement_fleet.ROUTE, allowed_regions=regions
        )

    def configure(self, version, regions):
        route = self.route(regions)
        self.view.set_configuration(
            directory.ServingConfiguration(
                version=version,
                routes=directory.index_routes([route]),
                services={
                    "s": directory.Service(
                        name="s",
                        max_connections=9,
                        engine=_placement_fleet.PROFILE,
                    )
                },
                limits=directory.CallerLimits(),
                workspaces=None,
            )
        )

    def call(self, *regions):
        now = time.monotonic()
        return _call.Call(
            request=None,
            id=ids.RequestId("q"),
            route=self.route(None),
            service="s",
            workspace=None,
            priority=1,
            deadline=now + 6.0,
            objective_at=now + 5.0,
            model="m",
            configuration=self.view.configuration,
            allowed_regions=frozenset(regions) or None,
            last_event_id="",
            tried=[],
        )

    def wait(self, *regions):
        """Return the results of a call, with its target or its error."""
        results = []

        def acquire():
            try:
                results.append(self.admission.acquire(self.call(*regions)))
            except errors.RequestError as error:
                results.append(error.code)

        eventlet.spawn(acquire)
        eventlet.sleep(0.01)
        assert not results
        return results


def test_waiting_request_is_refused_when_its_regions_are_evacuated():
    """Others go on waiting for a slot elsewhere."""
    full = FullService()
    bound, free = full.wait("r1"), full.wait()
    full.view.set_evacuations(
        directory.Evacuations(era=0, revision=1, zones=frozenset({"z1"})),
        source="store",
    )
    eventlet.sleep(0.01)
    assert bound == [errors.ResultCode.ZONES_EVACUATED]
    assert not free
    for state in full.states:
        full.admission.release(state)
    eventlet.sleep(0.01)
    assert [state.target.zone for state in free] == ["z2"]


@pytest.mark.parametrize(
    ("regions", "expected"),
    [
        ({"nowhere"}, errors.ResultCode.REGION_UNAVAILABLE),
        ({"r2"}, "z2"),
    ],
)
def test_new_list_applies_to_waiting_requests(regions, expected):
    full = FullService()
    results = full.wait()
    full.configure(2, frozenset(regions))
    eventlet.sleep(0.01)
    if expected == "z2":
        assert not results
        for state in sorted(full.states, key=lambda s: s.target.zone):
            full.admission.release(state)
        eventlet.sleep(0.01)
        results = [state.target.zone for state in results]
    assert results == [expected]
