"""Entries and engines of the placement benchmark.

Admission, the queue, placement and the target table are the production code
on virtual time; connections, agents and callers are simulated.
"""

from collections.abc import Callable
import random
import time

import eventlet
import msgspec

from zinniadyke.bench import _placement_workload
from zinniadyke.bench import _shared_host
from zinniadyke.bench import _simulated_engine
from zinniadyke import directory
from zinniadyke.gateway import admission
from zinniadyke import ids

SERVICE = ids.ServiceName("models")
MODEL = ids.ModelName("m")
VERSION_BOUND_S = 8.0
ENTRY_COUNT = 5
TARGET_COUNT = 6
ZONES = ("z1", "z2", "z3")
# Interval at which agents report the load of their engine to the entries.
REPORT_INTERVAL_S = 0.1
# Interval at which entries tell agents their demand.
SUBSCRIBE_PERIOD_S = 0.5
# Time after which the registration of a crashed target expires.
REGISTRATION_EXPIRY_S = 3.0
# Maximum prompt tokens per step of the users' engines.
PREFILL_CHUNK_TOKENS = 2048
MAX_ATTEMPTS = 2
# Routes of different priority, where the shape asks for them.
ROUTE_PRIORITIES = 3
PROFILE = directory.EngineProfile(
    slots=16,
    kv_cache_tokens=1_640_000,
    step_s=0.00673,
    step_per_request_s=0.0000219,
    step_per_context_token_s=0.0,
    prefill_tokens_per_s=30_600.0,
    prefill_pair_s=0.0,
    steps_per_pass=6,
    models=(MODEL,),
    layers=1,
    chunks=64,
    chunk_bytes=32768,
    mean_prompt_tokens=964,
    mean_answer_tokens=119,
)
ROUTE = directory.Route(
    name="r",
    host="h",
    path_prefix="/",
    retry_mode=directory.RetryMode.RESUME,
    streaming=True,
    timeout_s=6.0,
    objective_s=0.4,
    max_gap_s=_placement_workload.MAX_GAP_S,
    max_attempts=MAX_ATTEMPTS,
    priority=1,
    public=True,
    backends=(directory.Backend(service=SERVICE, weight=1.0),),
)


class FleetShape(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers of entries and targets, and the engines' profile.

    Attributes
    ----------
    workspace_priority
        Priority that all workspaces state; None if they state none.
    same_route
        Whether all requests have the priority of the same route.
    reports_demand
        Whether agents report the demand of all entries.
    shares_by_demand
        Whether entries share free slots by it; otherwise equally.
    kinds
        Kinds of requests, for the capacity; empty for the usual ones.
    mean_speed
        Mean speed of the hosts, relative to usual.
    """

    entry_count: int = ENTRY_COUNT
    target_count: int = TARGET_COUNT
    profile: directory.EngineProfile = PROFILE
    workspace_priority: int | None = None
    same_route: bool = True
    reports_demand: bool = False
    shares_by_demand: bool = False
    kinds: tuple[_placement_workload.RequestKind, ...] = ()
    mean_speed: float = 1.0


class Fleet:
    """Engines, and entries that learn their load from reports.

    Parameters
    ----------
    make_host
        Returns the host of an engine; None for one of constant speed.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        shape: FleetShape | None = None,
        make_host: Callable[[], _shared_host.SharedHost | None] = lambda: None,
    ) -> None:
        """Start all engines and entries."""
        self.rng = rng
        self.shape = shape or FleetShape()
        self.profile = self.shape.profile
        self.make_host = make_host
        self.engines: dict[ids.TargetId, _simulated_engine.SimulatedEngine]
        self.engines = {}
        self.registered_targets: dict[ids.TargetId, directory.Target] = {}
        self.views = [directory.View() for _ in range(self.shape.entry_count)]
        self.routes = self._routes()
        configuration = directory.ServingConfiguration(
            version=1,
            routes=directory.index_routes(self.routes),
            services={
                SERVICE: directory.Service(
                    name=SERVICE, max_connections=200, engine=self.profile
                )
            },
            limits=directory.CallerLimits(),
            workspaces=None,
        )
        for view in self.views:
            view.set_configuration(configuration)
        for _ in range(self.shape.target_count):
            self.add_target()
        self.target_tables = [
            admission.TargetTable(view=v, version_bound_s=VERSION_BOUND_S)
            for v in self.views
        ]
        regions = {zone: zone for zone in ZONES}
        self.wait_estimators = [
            admission.CallerWaitEstimator() for _ in self.target_tables
        ]
        # Each entry's demand for each target when it last subscribed.
        self.demand: dict[
            admission.Admission, dict[ids.TargetId, dict[int, float]]
        ] = {}
        self.entries = [
            admission.Admission(
                target_table=target_table,
                service=SERVICE,
                zone_penalty=admission.zone_penalties(
                    ZONES[n % len(ZONES)], regions
                ),
            )
            for n, target_table in enumerate(self.target_tables)
        ]

        if self.shape.reports_demand:
            for entry in self.entries:
                eventlet.spawn(self._subscribe, entry)

    def _subscribe(self, entry: admission.Admission) -> None:
        eventlet.sleep(self.rng.uniform(0.0, SUBSCRIBE_PERIOD_S))
        while self.engines:
            self.demand[entry] = entry.demand_by_target()
            eventlet.sleep(SUBSCRIBE_PERIOD_S)

    def _record_demand(
        self, entry: admission.Admission, state: admission.TargetState
    ) -> None:
        """Give an entry the demand of all for a target."""
        total: dict[int, float] = {}
        for found in self.demand.values():
            for priority, per_s in found.get(state.target.id, {}).items():
                total[priority] = total.get(priority, 0.0) + per_s
        part = None
        if self.shape.shares_by_demand:
            own = self.demand.get(entry, {}).get(state.target.id, {})
            part = admission.slot_part(own, total, state.entries)
        state.record_demand(total, part)

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that all engines together can complete."""
        profile = self.profile
        step_s = profile.step_s + profile.slots * (
            profile.step_per_request_s
            + profile.step_per_context_token_s * profile.mean_prompt_tokens
        )
        request_time_s = _placement_workload.mean_engine_time_s(
            step_s / profile.slots,
            profile.prefill_tokens_per_s,
            self.shape.kinds,
        )
        return self.shape.mean_speed * len(self.engines) / request_time_s

    @property
    def free_slot_share(self) -> float:
        """Share of free slots over all engines."""
        slots = self.profile.slots * len(self.engines)
        used = sum(
            len(e.running) + len(e.waiting) for e in self.engines.values()
        )
        return max(0.0, 1.0 - used / slots) if slots else 0.0

    def add_target(self) -> None:
        """Add a target that has the weights."""
        number = len(self.registered_targets)
        name = ids.TargetId(f"t{number}")
        self.engines[name] = _simulated_engine.SimulatedEngine(
            profile=self.profile,
            prefill_chunk_tokens=PREFILL_CHUNK_TOKENS,
            host=self.make_host(),
        )
        self.registered_targets[name] = directory.Target(
            id=name,
            service=SERVICE,
            address=f"10.0.0.{number}:80",
            zone=ZONES[number % len(ZONES)],
            slots=self.profile.slots,
            leaving=False,
            born_ms=0,
            weights={MODEL: 1},
        )
        self._publish()
        eventlet.spawn(self._report_load, name)

    def crash(self, name: ids.TargetId) -> None:
        """Crash a target; its registration expires some seconds later."""
        self.engines.pop(name).crash()
        eventlet.spawn_after(
            REGISTRATION_EXPIRY_S, self._expire_registration, name
        )

    def _expire_registration(self, name: ids.TargetId) -> None:
        del self.registered_targets[name]
        self._publish()

    def _publish(self) -> None:
        for view in self.views:
            view.set_targets(dict(self.registered_targets))

    def _report_load(self, name: ids.TargetId) -> None:
        eventlet.sleep(self.rng.uniform(0.0, REPORT_INTERVAL_S))
        while engine := self.engines.get(name):
            for target_table, entry in zip(
                self.target_tables, self.entries, strict=True
            ):
                state = target_table.states[name]
                state.entries = self.shape.entry_count
                if self.shape.reports_demand:
                    self._record_demand(entry, state)
                if engine.host is not None:
                    state.record_slowness(engine.host.pace())
                state.record_load(len(engine.running), len(engine.waiting))
                entry.admit_waiting()
            eventlet.sleep(REPORT_INTERVAL_S)

    def call(
        self,
        number: int,
        simulated_request: _placement_workload.SimulatedRequest,
        first_try_at: float,
    ) -> admission.Call:
        """Return a call as an entry would receive it now."""
        now = time.monotonic()
        deadline = first_try_at + simulated_request.kind.deadline_s
        waited_s = self.wait_estimators[number].waited_s(
            simulated_request.kind.name, deadline - now
        )
        return admission.Call(
            request=None,
            id=ids.RequestId("r"),
            route=self._route(simulated_request.kind),
            service=SERVICE,
            workspace=simulated_request.workspace,
            priority=(
                simulated_request.kind.priority
                if self.shape.workspace_priority is None
                else self.shape.workspace_priority
            ),
            workspace_priority=self.shape.workspace_priority,
            deadline=deadline,
            objective_at=now - waited_s + simulated_request.kind.objective_s,
            waited_s=waited_s,
            model=MODEL,
            work=admission.RequestWork(
                engine=self.profile,
                prompt_tokens=simulated_request.prompt_tokens,
                answer_tokens=simulated_request.kind.answer_tokens,
                max_answer_tokens=simulated_request.kind.answer_tokens,
            ),
            last_event_id="",
            tried=[],
        )

    def _routes(self) -> list[directory.Route]:
        if self.shape.same_route:
            return [ROUTE]
        return [
            msgspec.structs.replace(ROUTE, name=str(n), priority=n)
            for n in range(ROUTE_PRIORITIES)
        ]

    def _route(self, kind: _placement_workload.RequestKind) -> directory.Route:
        if self.shape.same_route:
            return ROUTE
        return self.routes[kind.priority]
