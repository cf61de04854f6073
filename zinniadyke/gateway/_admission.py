"""Admission control for requests to a service's targets.

Under overload there are more requests than engine slots. A request queues
only while it can still be answered within its objective; otherwise it is
rejected immediately, with an estimate of when a slot will be free.
"""

import collections
from collections.abc import Callable
import math
import time

import eventlet

from zinniadyke import errors
from zinniadyke.gateway import _call
from zinniadyke.gateway import _class_record
from zinniadyke.gateway import _demand
from zinniadyke.gateway import _refusals
from zinniadyke.gateway import _rescope
from zinniadyke.gateway import _reservation
from zinniadyke.gateway import _slots
from zinniadyke.gateway import _target_state
from zinniadyke.gateway import _target_table
from zinniadyke.gateway import _waits
from zinniadyke import ids
from zinniadyke import requests
from zinniadyke import telemetry

# Longest wait of a repeat for a token of a target that limits requests.
RETRY_TOKEN_WAIT_S = 0.3
TOKEN_CHECK_S = 0.01
# Limit per workspace and priority. In practice the estimated wait keeps the
# queue shorter.
MAX_QUEUE_LENGTH = 1000
# Rank of a class that must not wait for others any longer.
FIRST_RANK = -1


class Admission:
    """Admits requests to the free slots of one service's targets.

    Parameters
    ----------
    zone_penalty
        Returns the penalty for sending a request to an availability zone,
        as a number of requests in flight.
    request_token
        Called with a target that limits requests when one more is wanted.
    """

    def __init__(
        self,
        *,
        target_table: _target_table.TargetTable,
        service: ids.ServiceName,
        zone_penalty,
        request_token: Callable[[_target_state.TargetState], None] = (
            lambda state: None
        ),
    ) -> None:
        """Start with an empty queue."""
        self.target_table = target_table
        self.service = service
        self.request_token = request_token
        self.queue = requests.LaneQueue()
        self.waits = _waits.Waits()
        self.demand = _demand.Demand()
        self.record = _class_record.ClassRecord()
        self.queue.rank_of = self._rank_of
        self.slots = _slots.Slots(
            target_table=target_table,
            service=service,
            zone_penalty=zone_penalty,
            request_token=lambda state: self.request_token(state),
        )

    @property
    def completion_times(self) -> collections.deque[float]:
        """Monotonic times at which attempts ended."""
        return self.waits.completion_times

    def acquire_for_retry(self, call: _call.Call) -> _target_state.TargetState:
        """Reserve a slot for a call's next attempt and return its target.

        A retry neither queues nor needs a free slot: the call has queued
        before its first attempt, and the caller of a resumed stream is
        already waiting for the next event. It counts towards a limit that
        the target names.

        Raises
        ------
        RequestError
            No untried target is available.
        """
        deadline = time.monotonic() + min(RETRY_TOKEN_WAIT_S, call.remaining_s)
        while True:
            self._rescope(call)
            candidates = self.target_table.candidates(call.scope, call.tried)
            state = self.slots.choose(
                candidates, lambda _: True, self.waits.mean_response_s
            )
            if state is not None:
                return self.slots.reserve(state)
            if not candidates or time.monotonic() >= deadline:
                raise self._no_target(call)
            # All are limited, and an agent's answer is on its way.
            eventlet.sleep(TOKEN_CHECK_S)

    def acquire(self, call: _call.Call) -> _target_state.TargetState:
        """Reserve a slot for the call and return its target.

        Raises
        ------
        RequestError
            No target can serve the call in time. Nothing was sent.
        """
        self._rescope(call)
        lane = _lane(call)
        self.demand.record(lane.rank)
        self.record.record_arrival(lane.rank)
        if self.queue.goes_first(lane):
            state = self._choose_target(call)
            if state is not None:
                return self._admit(call, state)
        while True:
            # Checked again after each wait: targets may have closed, and the
            # allowed regions may have changed.
            self._rescope(call)
            lane = _lane(call)
            if not self.target_table.candidates(call.scope, call.tried):
                raise self._no_target(call)
            max_wait_s = self.waits.max_wait_s(call)
            call.queue_length_at_decision = len(self.queue)
            token_wait_s = self._token_wait_s(call)
            call.expected_wait_s = min(self._slot_wait_s(call), token_wait_s)
            call.max_wait_s = max_wait_s
            if max_wait_s <= 0 or call.expected_wait_s > max_wait_s:
                raise self._queue_full(call)
            telemetry.gauge(
                telemetry.Metric.QUEUE_LENGTH,
                len(self.queue) + 1,
                label=self.service,
            )
            if 0 < token_wait_s < max_wait_s:
                # An entry's own share falls due without any message.
                eventlet.spawn_after(token_wait_s, self.admit_waiting)
            self.queue.wait_in(
                lane,
                call.workspace or ids.WorkspaceName(""),
                MAX_QUEUE_LENGTH,
                max_wait_s,
            )
            state = self._choose_target(call)
            if state is not None:
                return self._admit(call, state)

    def release(self, state: _target_state.TargetState) -> None:
        """Free the slot of a finished attempt and admit waiting requests."""
        state.in_flight -= 1
        self.waits.record_completion()
        self.admit_waiting()

    def record_first_event_time(self, took_s: float) -> None:
        """Update the mean time to the first event, in seconds."""
        self.waits.record_first_event_time(took_s)

    def record_response_time(self, took_s: float) -> None:
        """Update the mean time of complete responses, in seconds."""
        self.waits.record_response_time(took_s)

    def admit_waiting(self) -> None:
        """Grant a turn to one waiting request per free slot."""
        if not len(self.queue):
            return
        if not self.target_table.has_open_target(self.service):
            # Those that wait find no target and are refused at once.
            while self.queue.grant():
                pass
            return
        states = self.target_table.available_targets(self.service)
        free = sum(self.slots.free_places(s) for s in states)
        reserved: dict[int, int] = {}

        def has_place(lane: requests.Lane) -> bool:
            if lane.rank not in reserved:
                reserved[lane.rank] = self._reserved(states, lane.rank)
            left = free - reserved[lane.rank]
            return left > self.queue.pending_grants

        while len(self.queue) and self.queue.grant_eligible(has_place):
            pass
        if len(self.queue):
            self.slots.request_tokens(states, len(self.queue))

    def reconsider_waiting(self) -> None:
        """Admit waiting requests; refuse those that limits keep too long.

        Each request that wakes without a free slot compares its expected
        wait with the longest that its objective allows again.
        """
        self.admit_waiting()
        states = self.target_table.available_targets(self.service)
        if all(s.tokens is not None and s.tokens.next_in_s for s in states):
            while self.queue.grant():
                pass

    def has_variable_capacity(self) -> bool:
        """Whether the slots that a request may get change while it waits.

        Load: classes of different urgency that take slots from one another,
        and hosts that share their processors with other work. Elsewhere a
        request that misses its objective gains nothing by waiting.
        """
        return self.demand.mixed or any(
            s.slowness is not None
            for s in self.target_table.used.get(self.service, ())
        )

    def recheck_waiting(self) -> None:
        """Let all waiting requests look for a target again.

        Load: a zone is evacuated, or allowed regions change. Requests that
        no target is left for are refused at once; the others queue again.
        """
        while self.queue.grant():
            pass

    def _rescope(self, call: _call.Call) -> None:
        _rescope.rescope(call, self.target_table.view.configuration)

    def _admit(
        self, call: _call.Call, state: _target_state.TargetState
    ) -> _target_state.TargetState:
        self.record.record_admission(call.urgency.route)
        return self.slots.reserve(state)

    def _choose_target(self, call) -> _target_state.TargetState | None:
        self._rescope(call)
        candidates = self.target_table.candidates(call.scope, call.tried)
        call.reserved_slots = self._reserved(candidates, call.urgency.route)
        if call.reserved_slots and call.reserved_slots >= sum(
            self.slots.free_places(s) for s in candidates
        ):
            return None
        return self.slots.choose(
            candidates,
            lambda s: self.slots.free_slots(s) > 0,
            self.waits.mean_response_s,
        )

    def _rank_of(self, rank: int) -> int:
        """Return the rank that a class counts as: the first if it is short."""
        return FIRST_RANK if self.record.is_short(rank) else rank

    def _reserved(
        self, states: list[_target_state.TargetState], rank: int
    ) -> int:
        """Return how many of the targets' free slots a class leaves free."""
        if not self.demand.mixed or self.record.is_short(rank):
            return 0
        used = max(len(self.target_table.used.get(self.service, ())), 1)
        demand = {p: d / used for p, d in self.demand.per_s().items()}
        return self.slots.round(
            sum(
                _reservation.reserved_slots(
                    demand,
                    rank,
                    slots=state.target.slots,
                    mean_response_s=self.waits.mean_response_s,
                )
                for state in states
            )
        )

    def _expected_wait_s(self, call: _call.Call) -> float:
        lane = _lane(call)
        return self.waits.slot_wait_s(
            self.queue.count_ahead_in(lane),
            more_urgent_per_s=sum(
                per_s
                for rank, per_s in self.demand.per_s().items()
                if rank < self._rank_of(lane.rank)
            ),
            least_part=self.record.least_part(lane.rank),
        )

    def _slot_wait_s(self, call: _call.Call) -> float:
        """Return the estimated wait for a slot; infinite if slots are free.

        Requests that find free slots wait for tokens of targets with limits.
        """
        candidates = self.target_table.candidates(call.scope, call.tried)
        if all(s.tokens is not None for s in candidates) and any(
            self.slots.free_slots(s) > 0 for s in candidates
        ):
            return float("inf")
        return self._expected_wait_s(call)

    def _token_wait_s(self, call: _call.Call) -> float:
        candidates = self.target_table.candidates(call.scope, call.tried)
        return _waits.token_wait_s(
            (
                s
                for s in candidates
                if s.tokens is not None and self.slots.free_slots(s) > 0
            ),
            self.queue.count_ahead_in(_lane(call)),
        )

    def _queue_full(self, call: _call.Call) -> errors.RequestError:
        waits_for_token = math.isinf(self._slot_wait_s(call))
        return _refusals.queue_full(
            self._expected_wait_s(call),
            self._token_wait_s(call) if waits_for_token else None,
        )

    def _no_target(self, call: _call.Call) -> errors.RequestError:
        return _refusals.no_target(
            self.target_table.explain_no_target(call.scope),
            self.target_table.reopens_in_s(call.scope),
        )


def _lane(call: _call.Call) -> requests.Lane:
    """Return the lane in which a call waits."""
    return requests.Lane(
        level=call.workspace_priority,
        priority=call.urgency.workspace,
        rank=call.urgency.route,
        scope=None,
    )
