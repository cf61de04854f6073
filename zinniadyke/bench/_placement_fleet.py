"""Entries and engines of the placement bench; decisions are the real ones.

Admission, the queue, placement and the target table run unchanged on
virtual time; connections, agents and callers are simulated.
"""

import random
import time

import eventlet

from zinniadyke.bench import _placement_load
from zinniadyke.bench import _simulated_engine
from zinniadyke import directory
from zinniadyke.gateway import admission
from zinniadyke import ids

SERVICE = ids.ServiceName("models")
MODEL = ids.ModelName("m")
VERSION_BOUND_S = 8.0
ENTRIES = 5
TARGETS = 6
ZONES = ("z1", "z2", "z3")
# Agents read their engine's load this often and tell the entries.
REPORT_S = 0.1
# Registrations of crashed targets lapse after this time.
LAPSE_S = 3.0
# Prompt tokens that a step of the users' engines reads at most.
CHUNK = 2048
MAX_ATTEMPTS = 2
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
    max_gap_s=_placement_load.MAX_GAP_S,
    max_attempts=MAX_ATTEMPTS,
    priority=1,
    public=True,
    backends=(directory.Backend(service=SERVICE, weight=1.0),),
)


class Fleet:
    """Engines, and entries that each know them by reports."""

    def __init__(self, *, rng: random.Random) -> None:
        """Start all engines and entries."""
        self.rng = rng
        self.engines: dict[ids.TargetId, _simulated_engine.SimulatedEngine]
        self.engines = {}
        self.listed: dict[ids.TargetId, directory.Target] = {}
        self.views = [directory.View() for _ in range(ENTRIES)]
        configuration = directory.ServingConfiguration(
            version=1,
            routes={},
            services={
                SERVICE: directory.Service(
                    name=SERVICE, max_connections=200, engine=PROFILE
                )
            },
            limits=directory.CallerLimits(),
            workspaces=None,
        )
        for view in self.views:
            view.set_configuration(configuration)
        for _ in range(TARGETS):
            self.add()
        self.books = [
            admission.TargetTable(view=v, version_bound_s=VERSION_BOUND_S)
            for v in self.views
        ]
        regions = {zone: zone for zone in ZONES}
        self.usual = [admission.CallerWaitEstimator() for _ in self.books]
        self.entries = [
            admission.Admission(
                target_table=target_table,
                service=SERVICE,
                zone_penalty=admission.zone_penalties(
                    ZONES[n % len(ZONES)], regions
                ),
            )
            for n, target_table in enumerate(self.books)
        ]

    @property
    def capacity_per_s(self) -> float:
        """Requests a second that the engines can complete together."""
        step_s = PROFILE.step_s + PROFILE.step_per_request_s * PROFILE.slots
        cost_s = _placement_load.mean_cost_s(
            step_s / PROFILE.slots, PROFILE.prefill_tokens_per_s
        )
        return len(self.engines) / cost_s

    @property
    def free_share(self) -> float:
        """Share of the engines' places that are free."""
        slots = PROFILE.slots * len(self.engines)
        used = sum(
            len(e.running) + len(e.waiting) for e in self.engines.values()
        )
        return max(0.0, 1.0 - used / slots) if slots else 0.0

    def add(self) -> None:
        """Add a target that holds weights."""
        number = len(self.listed)
        name = ids.TargetId(f"t{number}")
        self.engines[name] = _simulated_engine.SimulatedEngine(
            profile=PROFILE, chunk=CHUNK
        )
        self.listed[name] = directory.Target(
            id=name,
            service=SERVICE,
            address=f"10.0.0.{number}:80",
            zone=ZONES[number % len(ZONES)],
            slots=PROFILE.slots,
            leaving=False,
            born_ms=0,
            weights={MODEL: 1},
        )
        self._publish()
        eventlet.spawn(self._report, name)

    def crash(self, name: ids.TargetId) -> None:
        """Let a target crash; its registration stays for some seconds."""
        self.engines.pop(name).crash()
        eventlet.spawn_after(LAPSE_S, self._lapse, name)

    def _lapse(self, name: ids.TargetId) -> None:
        del self.listed[name]
        self._publish()

    def _publish(self) -> None:
        for view in self.views:
            view.set_targets(dict(self.listed))

    def _report(self, name: ids.TargetId) -> None:
        eventlet.sleep(self.rng.uniform(0.0, REPORT_S))
        while engine := self.engines.get(name):
            for target_table, entry in zip(
                self.books, self.entries, strict=True
            ):
                state = target_table.states[name]
                state.entries = ENTRIES
                state.record_load(len(engine.running), len(engine.waiting))
                entry.admit_waiting()
            eventlet.sleep(REPORT_S)

    def call(
        self, number: int, ask: _placement_load.Ask, first_at: float
    ) -> admission.Call:
        """Return a call as an entry reads it now."""
        now = time.monotonic()
        deadline = first_at + ask.kind.deadline_s
        waited_s = self.usual[number].waited_s(ask.kind.name, deadline - now)
        return admission.Call(
            request=None,
            id=ids.RequestId("r"),
            route=ROUTE,
            service=SERVICE,
            workspace=ask.workspace,
            priority=ask.kind.priority,
            deadline=deadline,
            objective_at=now - waited_s + ask.kind.objective_s,
            waited_s=waited_s,
            model=MODEL,
            last_event_id="",
            tried=[],
        )
