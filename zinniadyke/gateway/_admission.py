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
FIRST_EVENT_S = 0.2
FIRST_EVENT_MEMORY = 0.9
# Whole time of an answer that is expected at first, and the part of the old
# estimate that each new measurement keeps.
ANSWER_S = 1.0
ANSWER_MEMORY = 0.95
# Answers take longer than the mean; this share of it is allowed for.
FIRST_EVENT_SHARE = 1.3
# Completions are counted over this time.
RATE_WINDOW_S = 2.0
RETRY_AFTER_MIN_S = 0.2
RETRY_AFTER_MAX_S = 1.5
# Targets that are to load weights, or to come back, take longer than a place
# in a queue; callers wait up to a third of the time they have.
NO_TARGET_RETRY_S = 2.0
# Longest queue of one workspace and priority; what bounds the queue in
# practice is the expected wait.
MAX_WAITING = 1000


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
        self.first_event_s = FIRST_EVENT_S
        self.answer_s = ANSWER_S
        self.completions: collections.deque[float] = collections.deque()

    def acquire_for_retry(self, call: _call.Call) -> _target_state.TargetState:
        """Return a target for a call whose attempt has ended.

        It waits in no queue: it has waited before, and a stream that goes
        on has events to catch up with.

        Raises
        ------
        RequestError
            No other target is there.
        """
        state = _placement.choose(
            self.target_table.candidates(self.service, call.model, call.tried),
            self.zone_penalty,
            lambda _: True,
            answer_s=self.answer_s,
        )
        if state is None:
            raise self._refusal(errors.ResultCode.NO_TARGET, call)
        return self._take(state)

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
                return self._take(state)
        if not self.target_table.candidates(
            self.service, call.model, call.tried
        ):
            raise self._refusal(errors.ResultCode.NO_TARGET, call)
        while True:
            patience_s = self._patience_s(call)
            call.waiting_then = len(self.queue)
            call.expected_wait_s = self._expected_wait_s(call.priority)
            call.patience_s = patience_s
            if patience_s <= 0 or call.expected_wait_s > patience_s:
                raise self._refusal(errors.ResultCode.QUEUE_FULL, call)
            telemetry.gauge(
                telemetry.Metric.QUEUE_LENGTH,
                len(self.queue) + 1,
                label=self.service,
            )
            self.queue.wait(
                call.workspace or ids.WorkspaceName(""),
                1,
                call.priority,
                MAX_WAITING,
                patience_s,
            )
            state = self._choose_target(call)
            if state is not None:
                return self._take(state)

    def release(self, state: _target_state.TargetState) -> None:
        """Give a place back."""
        state.in_flight -= 1
        self.completions.append(time.monotonic())
        self.admit_waiting()

    def record_first_event_time(self, took_s: float) -> None:
        """Learn how long targets take to their first event."""
        kept = FIRST_EVENT_MEMORY * self.first_event_s
        self.first_event_s = kept + (1 - FIRST_EVENT_MEMORY) * took_s

    def record_response_time(self, took_s: float) -> None:
        """Learn how long whole answers take."""
        kept = ANSWER_MEMORY * self.answer_s
        self.answer_s = kept + (1 - ANSWER_MEMORY) * took_s

    def admit_waiting(self) -> None:
        """Let as many requests go on as places are free."""
        if not len(self.queue):
            return
        free = sum(
            max(0, s.places)
            for s in self.target_table.available_targets(self.service)
        )
        while len(self.queue) and free > self.queue.turns:
            self.queue.grant()

    def _take(
        self, state: _target_state.TargetState
    ) -> _target_state.TargetState:
        state.in_flight += 1
        return state

    def _choose_target(self, call) -> _target_state.TargetState | None:
        return _placement.choose(
            self.target_table.candidates(self.service, call.model, call.tried),
            self.zone_penalty,
            self._has_place,
            answer_s=self.answer_s,
        )

    def _has_place(self, state: _target_state.TargetState) -> bool:
        # A service without engines sheds by itself; its queue is its own.
        return (
            not self.target_table.has_engine(self.service) or state.places > 0
        )

    def _patience_s(self, call: _call.Call) -> float:
        on_time_s = (
            call.objective_at
            - time.monotonic()
            - self.first_event_s * FIRST_EVENT_SHARE
        )
        return min(on_time_s, call.remaining_s)

    def _expected_wait_s(self, priority: int) -> float:
        """Return the wait behind all that are as urgent or more so."""
        now = time.monotonic()
        while self.completions and (self.completions[0] < now - RATE_WINDOW_S):
            self.completions.popleft()
        rate = max(len(self.completions), 1) / RATE_WINDOW_S
        return (self.queue.ahead(priority) + 1) / rate

    def _refusal(
        self, code: errors.ResultCode, call: _call.Call
    ) -> errors.RequestError:
        expected_s = self._expected_wait_s(call.priority)
        wait_s = min(max(expected_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        if code is errors.ResultCode.NO_TARGET:
            wait_s = NO_TARGET_RETRY_S
        return errors.RequestError(
            code=code, retry_after_s=wait_s * random.uniform(0.7, 1.3)
        )
