"""Bench of admission and placement: who is served on heavy loads."""

import random
import time

import eventlet
import msgspec

from zinniadyke.bench import _bound
from zinniadyke.bench import _placement_fleet
from zinniadyke.bench import _placement_load
from zinniadyke.bench import _placement_row
from zinniadyke.bench import _simulated_engine
from zinniadyke.bench import _virtual_time
from zinniadyke import errors

# One more try after a refusal, as the users' callers make.
TRIES = 2
# Callers wait as told up to this share of the time they have left.
PATIENCE_SHARE = 1 / 3
# A caller gives up a stream after such a silence, in seconds.
SILENCE_S = 2.4
DRAIN_S = 8.0


class PlacementOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Length in seconds of virtual time, and the seed."""

    seconds: float
    seed: int


class PlacementResult(msgspec.Struct, kw_only=True):
    """One row a load."""

    rows: list[_placement_row.PlacementRow]

    def bounds(self) -> list[_bound.Bound]:
        """Return the stated limits with what was measured."""
        return [bound for row in self.rows for bound in row.bounds()]


def run_placement(options: PlacementOptions) -> PlacementResult:
    """Play all loads on virtual time; the process stays on it."""
    _virtual_time.install()
    return PlacementResult(
        rows=[
            _Run(load=load, options=options).play()
            for load in _placement_load.LOADS
        ]
    )


class _Run:
    """One load on one fleet."""

    def __init__(
        self, *, load: _placement_load.Load, options: PlacementOptions
    ) -> None:
        self.load = load
        self.seconds = options.seconds
        self.rng = random.Random(f"{options.seed} {load.name}")
        # Placement draws from the module's own generator.
        random.seed(options.seed)
        self.fleet = _placement_fleet.Fleet(rng=self.rng)
        self.capacities: list[float] = []
        self.ends: list[_placement_row.End] = []

    def play(self) -> _placement_row.PlacementRow:
        capacity = self.fleet.capacity_per_s
        planned = _placement_load.asks(
            self.load, capacity, self.seconds, self.rng
        )
        eventlet.spawn(self._change_fleet)
        eventlet.spawn(self._note_capacity)
        begun = time.monotonic()
        for ask in planned:
            eventlet.sleep(max(0.0, begun + ask.at_s - time.monotonic()))
            eventlet.spawn(self._serve, ask)
        eventlet.sleep(DRAIN_S)
        for name in list(self.fleet.engines):
            self.fleet.crash(name)
        return _placement_row.PlacementRow.of(
            self.load.name, self.capacities, self.ends
        )

    def _note_capacity(self) -> None:
        for _ in range(int(self.seconds)):
            self.capacities.append(self.fleet.capacity_per_s)
            eventlet.sleep(1.0)

    def _change_fleet(self) -> None:
        count = len(self.fleet.engines)
        eventlet.sleep(self.seconds / 3)
        for _ in range(round(self.load.added * count)):
            self.fleet.add()
        for _ in range(round(self.load.crashes * count)):
            self.fleet.crash(self.rng.choice(sorted(self.fleet.engines)))
            eventlet.sleep(1.0)

    def _serve(self, ask: _placement_load.Ask) -> None:
        """Play one caller with its tries."""
        end = _placement_row.End(ask=ask)
        first_at = time.monotonic()
        for number in range(TRIES):
            chosen = self.rng.randrange(len(self.fleet.entries))
            entry = self.fleet.entries[chosen]
            call = self.fleet.call(chosen, ask, first_at)
            asked_at = time.monotonic()
            try:
                self._answer(entry, call, ask, end, first_at)
            except errors.RequestError as error:
                end.note_refusal(
                    held_s=time.monotonic() - asked_at,
                    free_share=self.fleet.free_share,
                )
                remaining_s = call.remaining_s
                wait_s = error.retry_after_s or 0.0
                if (
                    number + 1 < TRIES
                    and wait_s < remaining_s * PATIENCE_SHARE
                ):
                    eventlet.sleep(wait_s)
                    continue
            break
        self.ends.append(end)

    def _answer(self, entry, call, ask, end, first_at: float) -> None:
        """Run a call as the forwarder would; events go to the caller."""
        done = 0
        while True:
            again = bool(call.tried)
            try:
                state = (
                    entry.acquire_for_retry(call)
                    if again
                    else entry.acquire(call)
                )
            except errors.RequestError:
                if not again:
                    raise
                return
            call.tried.append(state.target.id)
            sent_at = time.monotonic()
            engine = self.fleet.engines.get(state.target.id)
            try:
                if engine is None:
                    state.record_failure()
                else:
                    self._stream(engine, ask, end, done, first_at)
                    entry.record_response_time(time.monotonic() - sent_at)
                    state.record_success()
                    return
            except _simulated_engine.EngineGoneError:
                state.record_failure()
                done = end.tokens
            finally:
                entry.release(state)
                if not again and end.first_s is not None:
                    entry.record_first_event_time(
                        first_at + end.first_s - sent_at
                    )
            if len(call.tried) >= _placement_fleet.MAX_ATTEMPTS:
                return

    def _stream(self, engine, ask, end, done: int, first_at: float) -> None:
        """Read a stream to its end.

        Raises
        ------
        EngineGoneError
            The engine crashed meanwhile.
        """
        tokens = ask.kind.tokens - done
        job = engine.submit(ask.prompt + done, tokens)
        try:
            with eventlet.Timeout(SILENCE_S + ask.kind.deadline_s, False):
                while True:
                    out = job.events.get()
                    if out is None:
                        raise _simulated_engine.EngineGoneError
                    end.note_event(time.monotonic() - first_at, done + out)
                    if out == tokens:
                        return
        finally:
            engine.cancel(job)
