"""Admits requests to a service's targets, or refuses them at once.

Load it answers: more requests than the engines have places. A request waits
only while it can still be answered on time; one that cannot is refused at
once and told when a place is likely to be free.
"""

import collections
import random
import time

from zinniadyke import errors
from zinniadyke.gateway import _call
from zinniadyke.gateway import _placement
from zinniadyke.gateway import _target_state
from zinniadyke.gateway import _target_table
from zinniadyke import ids
from zinniadyke import requests
from zinniadyke import telemetry

# Time from the sending to the first event that is expected at first, and the
# part of the old estimate that each new measurement keeps.
INITIAL_FIRST_EVENT_S = 0.2
FIRST_EVENT_EMA_RETENTION = 0.9
# Whole time of an answer that is expected at first, and the part of the old
# estimate that each new measurement keeps.
INITIAL_RESPONSE_S = 1.0
RESPONSE_EMA_RETENTION = 0.95
# Answers take longer than the mean; this share of it is allowed for.
FIRST_EVENT_MARGIN = 1.3
# Completions are counted over this time.
COMPLETION_WINDOW_S = 2.0
RETRY_AFTER_MIN_S = 0.2
RETRY_AFTER_MAX_S = 1.5
# Targets that are to load weights, or to come back, take longer than a place
# in a queue; callers wait up to a third of the time they have.
NO_TARGET_RETRY_S = 2.0
# Longest queue of one workspace and priority; what bounds the queue in
# practice is the expected wait.
MAX_QUEUE_LENGTH = 1000


class Admission:
    """Places and the queue before one service's targets."""

    def __init__(
        self,
        *,
        target_table: _target_table.TargetTable,
        service: ids.ServiceName,
        zone_penalty,
    ) -> None:
        """Start with an empty queue."""
        self.target_table = target_table
        self.service = service
        self.zone_penalty = zone_penalty
        self.queue = requests.FairQueue()
        self.mean_first_event_s = INITIAL_FIRST_EVENT_S
        self.mean_response_s = INITIAL_RESPONSE_S
        self.completion_times: collections.deque[float] = collections.deque()

    def acquire_for_retry(self, call: _call.Call) -> _target_state.TargetState:
        """Return a target for a call whose attempt has ended.

        It waits in no queue: it has waited before, and a stream that goes
        on has events to catch up with.

        Raises
        ------
        RequestError
            No other target is there.
        """
        state = _placement.choose_target(
            self.target_table.candidates(self.service, call.model, call.tried),
            self.zone_penalty,
            lambda _: True,
            mean_response_s=self.mean_response_s,
        )
        if state is None:
            raise self._make_refusal(errors.ResultCode.NO_TARGET, call)
        return self._reserve_slot(state)

    def acquire(self, call: _call.Call) -> _target_state.TargetState:
        """Return a target with a place for the call, which is then taken.

        Raises
        ------
        RequestError
            No target can serve the call in time; nothing was sent.
        """
        if not len(self.queue):
            state = self._choose_target(call)
            if state is not None:
                return self._reserve_slot(state)
        if not self.target_table.candidates(
            self.service, call.model, call.tried
        ):
            raise self._make_refusal(errors.ResultCode.NO_TARGET, call)
        while True:
            max_wait_s = self._max_wait_s(call)
            call.queue_length_at_decision = len(self.queue)
            call.expected_wait_s = self._expected_wait_s(call.priority)
            call.max_wait_s = max_wait_s
            if max_wait_s <= 0 or call.expected_wait_s > max_wait_s:
                raise self._make_refusal(errors.ResultCode.QUEUE_FULL, call)
            telemetry.gauge(
                telemetry.Metric.QUEUE_LENGTH,
                len(self.queue) + 1,
                label=self.service,
            )
            self.queue.wait(
                call.workspace or ids.WorkspaceName(""),
                1,
                call.priority,
                MAX_QUEUE_LENGTH,
                max_wait_s,
            )
            state = self._choose_target(call)
            if state is not None:
                return self._reserve_slot(state)

    def release(self, state: _target_state.TargetState) -> None:
        """Give a place back."""
        state.in_flight -= 1
        self.completion_times.append(time.monotonic())
        self.admit_waiting()

    def record_first_event_time(self, took_s: float) -> None:
        """Learn how long targets take to their first event."""
        retained_s = FIRST_EVENT_EMA_RETENTION * self.mean_first_event_s
        self.mean_first_event_s = (
            retained_s + (1 - FIRST_EVENT_EMA_RETENTION) * took_s
        )

    def record_response_time(self, took_s: float) -> None:
        """Learn how long whole answers take."""
        retained_s = RESPONSE_EMA_RETENTION * self.mean_response_s
        self.mean_response_s = (
            retained_s + (1 - RESPONSE_EMA_RETENTION) * took_s
        )

    def admit_waiting(self) -> None:
        """Let as many requests go on as places are free."""
        if not len(self.queue):
            return
        free = sum(
            max(0, s.free_slots)
            for s in self.target_table.available_targets(self.service)
        )
        while len(self.queue) and free > self.queue.turns:
            self.queue.grant()

    def _reserve_slot(
        self, state: _target_state.TargetState
    ) -> _target_state.TargetState:
        state.in_flight += 1
        return state

    def _choose_target(self, call) -> _target_state.TargetState | None:
        return _placement.choose_target(
            self.target_table.candidates(self.service, call.model, call.tried),
            self.zone_penalty,
            self._has_free_slot,
            mean_response_s=self.mean_response_s,
        )

    def _has_free_slot(self, state: _target_state.TargetState) -> bool:
        # A service without engines sheds by itself; its queue is its own.
        return (
            not self.target_table.has_engine(self.service)
            or state.free_slots > 0
        )

    def _max_wait_s(self, call: _call.Call) -> float:
        until_objective_s = (
            call.objective_at
            - time.monotonic()
            - self.mean_first_event_s * FIRST_EVENT_MARGIN
        )
        return min(until_objective_s, call.remaining_s)

    def _expected_wait_s(self, priority: int) -> float:
        """Return the wait behind all that are as urgent or more so."""
        now = time.monotonic()
        while self.completion_times and (
            self.completion_times[0] < now - COMPLETION_WINDOW_S
        ):
            self.completion_times.popleft()
        rate = max(len(self.completion_times), 1) / COMPLETION_WINDOW_S
        return (self.queue.ahead(priority) + 1) / rate

    def _make_refusal(
        self, code: errors.ResultCode, call: _call.Call
    ) -> errors.RequestError:
        expected_s = self._expected_wait_s(call.priority)
        wait_s = min(max(expected_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        if code is errors.ResultCode.NO_TARGET:
            wait_s = NO_TARGET_RETRY_S
        return errors.RequestError(
            code=code, retry_after_s=wait_s * random.uniform(0.7, 1.3)
        )
