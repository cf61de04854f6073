"""Admission and placement benchmark: which requests are served."""

from collections.abc import Callable
import random
import time

import eventlet
import msgspec

from zinniadyke.bench import _bound
from zinniadyke.bench import _placement_fleet
from zinniadyke.bench import _placement_row
from zinniadyke.bench import _placement_workload
from zinniadyke.bench import _simulated_engine
from zinniadyke.bench import _virtual_time
from zinniadyke import errors

# The users' callers retry once after a refusal.
MAX_CALLER_TRIES = 2
# Callers follow Retry-After up to this share of their remaining time.
MAX_RETRY_WAIT_SHARE = 1 / 3
# Callers abandon a stream that is silent for this long. The simulation uses
# one timeout for the whole stream instead: the deadline plus this time.
STREAM_TIMEOUT_MARGIN_S = 2.4
DRAIN_S = 8.0


class PlacementOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Duration of each scenario in virtual seconds, and the seed."""

    seconds: float
    seed: int


class PlacementResult(msgspec.Struct, kw_only=True):
    """One row for each load scenario."""

    rows: list[_placement_row.PlacementRow]

    def bounds(self) -> list[_bound.Bound]:
        """Return the required limits and the measured values."""
        return [bound for row in self.rows for bound in row.bounds()]


def run_placement(options: PlacementOptions) -> PlacementResult:
    """Simulate all scenarios; the process remains on virtual time."""
    _virtual_time.install()
    return PlacementResult(
        rows=[
            ScenarioRun(scenario=scenario, options=options).simulate()
            for scenario in _placement_workload.SCENARIOS
        ]
    )


class ScenarioRun:
    """Simulation of one load scenario on one fleet.

    Parameters
    ----------
    make_fleet
        Returns the fleet; called with the generator of the scenario.
    """

    def __init__(
        self,
        *,
        scenario: _placement_workload.LoadScenario,
        options: PlacementOptions,
        make_fleet: Callable[
            [random.Random], _placement_fleet.Fleet
        ] = lambda rng: _placement_fleet.Fleet(rng=rng),
    ) -> None:
        """Start the fleet."""
        self.scenario = scenario
        self.seconds = options.seconds
        self.rng = random.Random(f"{options.seed} {scenario.name}")
        # Placement uses the global generator of the random module.
        random.seed(options.seed)
        self.fleet = make_fleet(self.rng)
        self.capacities_per_s: list[float] = []
        self.outcomes: list[_placement_row.RequestOutcome] = []

    def simulate(self) -> _placement_row.PlacementRow:
        """Play the scenario and summarize its outcomes."""
        self.play(
            _placement_workload.generate_requests(
                self.scenario,
                self.fleet.capacity_per_s,
                self.seconds,
                self.rng,
            )
        )
        return _placement_row.PlacementRow.from_outcomes(
            self.scenario.name, self.capacities_per_s, self.outcomes
        )

    def play(
        self, simulated_requests: list[_placement_workload.SimulatedRequest]
    ) -> None:
        """Send requests at their times, and end the engines after them."""
        eventlet.spawn(self._change_fleet)
        eventlet.spawn(self._sample_capacity)
        start_time = time.monotonic()
        for simulated_request in simulated_requests:
            eventlet.sleep(
                max(
                    0.0, start_time + simulated_request.at_s - time.monotonic()
                )
            )
            eventlet.spawn(self._simulate_caller, simulated_request)
        eventlet.sleep(DRAIN_S)
        # Ends the engines and their load reports before the next scenario.
        for name in list(self.fleet.engines):
            self.fleet.crash(name)

    def choose_entry(
        self, simulated_request: _placement_workload.SimulatedRequest
    ) -> int:
        """Return the number of the entry that a request is sent to."""
        return self.rng.randrange(len(self.fleet.entries))

    def _sample_capacity(self) -> None:
        for _ in range(int(self.seconds)):
            self.capacities_per_s.append(self.fleet.capacity_per_s)
            eventlet.sleep(1.0)

    def _change_fleet(self) -> None:
        count = len(self.fleet.engines)
        eventlet.sleep(self.seconds / 3)
        for _ in range(round(self.scenario.added_share * count)):
            self.fleet.add_target()
        for _ in range(round(self.scenario.crashed_share * count)):
            self.fleet.crash(self.rng.choice(sorted(self.fleet.engines)))
            eventlet.sleep(1.0)

    def _simulate_caller(
        self, simulated_request: _placement_workload.SimulatedRequest
    ) -> None:
        """Simulate one caller and its retries."""
        outcome = _placement_row.RequestOutcome(
            simulated_request=simulated_request
        )
        first_try_at = time.monotonic()
        for number in range(MAX_CALLER_TRIES):
            entry_number = self.choose_entry(simulated_request)
            entry = self.fleet.entries[entry_number]
            call = self.fleet.call(
                entry_number, simulated_request, first_try_at
            )
            try_started_at = time.monotonic()
            try:
                self._forward(
                    entry, call, simulated_request, outcome, first_try_at
                )
            except errors.RequestError as error:
                outcome.record_refusal(
                    refusal_wait_s=time.monotonic() - try_started_at,
                    free_slot_share=self.fleet.free_slot_share,
                )
                remaining_s = call.remaining_s
                wait_s = error.retry_after_s or 0.0
                if (
                    number + 1 < MAX_CALLER_TRIES
                    and wait_s < remaining_s * MAX_RETRY_WAIT_SHARE
                ):
                    eventlet.sleep(wait_s)
                    continue
            break
        self.outcomes.append(outcome)

    def _forward(
        self, entry, call, simulated_request, outcome, first_try_at: float
    ) -> None:
        """Forward a call like the gateway; record events in the outcome."""
        received_tokens = 0
        while True:
            is_retry = bool(call.tried)
            try:
                state = (
                    entry.acquire_for_retry(call)
                    if is_retry
                    else entry.acquire(call)
                )
            except errors.RequestError:
                if not is_retry:
                    raise
                return
            call.tried.append(state.target.id)
            state.record_sent(call.work.kv_tokens)
            sent_at = time.monotonic()
            engine = self.fleet.engines.get(state.target.id)
            try:
                if engine is None:
                    state.record_failure()
                else:
                    self._read_stream(
                        engine,
                        state,
                        simulated_request,
                        outcome,
                        received_tokens,
                        first_try_at,
                    )
                    entry.record_response_time(time.monotonic() - sent_at)
                    state.record_success()
                    return
            except _simulated_engine.EngineCrashedError:
                state.record_failure()
                received_tokens = outcome.answer_tokens
            finally:
                entry.release(state)
                if not is_retry and outcome.first_event_s is not None:
                    entry.record_first_event_time(
                        first_try_at + outcome.first_event_s - sent_at
                    )
            if len(call.tried) >= _placement_fleet.MAX_ATTEMPTS:
                return

    def _read_stream(
        self,
        engine,
        state,
        simulated_request,
        outcome,
        received_tokens: int,
        first_try_at: float,
    ) -> None:
        """Read a response stream to its end.

        Raises
        ------
        EngineCrashedError
            The engine crashed during the stream.
        """
        answer_tokens = simulated_request.kind.answer_tokens - received_tokens
        job = engine.submit(
            simulated_request.prompt_tokens + received_tokens, answer_tokens
        )
        try:
            with eventlet.Timeout(
                STREAM_TIMEOUT_MARGIN_S + simulated_request.kind.deadline_s,
                False,
            ):
                while True:
                    tokens_out = job.events.get()
                    if tokens_out is None:
                        raise _simulated_engine.EngineCrashedError
                    if engine.host is not None and job.tokens_out == 1:
                        # The head of the answer states the slowness.
                        state.record_slowness(engine.host.slowness())
                    outcome.record_event(
                        time.monotonic() - first_try_at,
                        received_tokens + tokens_out,
                    )
                    if tokens_out == answer_tokens:
                        return
        finally:
            engine.cancel(job)
