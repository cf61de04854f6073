"""Admission control for requests to a service's targets.

Under overload there are more requests than engine slots. A request queues
only while it can still be answered within its objective; otherwise it is
rejected immediately, with an estimate of when a slot will be free.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import math
import random
import time

import eventlet

from zinniadyke import errors
from zinniadyke.gateway import _call
from zinniadyke.gateway import _placement
from zinniadyke.gateway import _target_state
from zinniadyke.gateway import _target_table
from zinniadyke import ids
from zinniadyke import requests
from zinniadyke import telemetry

# Initial estimate of the time from sending to the first event.
INITIAL_FIRST_EVENT_S = 0.2
# Weight of the previous mean in the exponential moving average.
FIRST_EVENT_EMA_RETENTION = 0.9
# Initial estimate of the time that a complete response takes.
INITIAL_RESPONSE_S = 1.0
# Weight of the previous mean in the exponential moving average.
RESPONSE_EMA_RETENTION = 0.95
# Factor on the mean time to the first event, as many take longer.
FIRST_EVENT_MARGIN = 1.3
# Window over which the completion rate is measured.
COMPLETION_WINDOW_S = 2.0
RETRY_AFTER_MIN_S = 0.2
RETRY_AFTER_MAX_S = 1.5
# Targets that load weights or recover take longer than a slot takes to become
# free. Callers follow Retry-After up to a third of their remaining deadline.
NO_TARGET_RETRY_S = 2.0
# Callers that return to targets that have reopened are spread over this time.
REOPEN_SPREAD_S = 0.5
# Longest wait of a repeat for a token of a target that limits requests.
RETRY_TOKEN_WAIT_S = 0.3
TOKEN_CHECK_S = 0.01
# Limit per workspace and priority. In practice the estimated wait keeps the
# queue shorter.
MAX_QUEUE_LENGTH = 1000


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
        self.zone_penalty = zone_penalty
        self.request_token = request_token
        self.queue = requests.FairQueue()
        self.mean_first_event_s = INITIAL_FIRST_EVENT_S
        self.mean_response_s = INITIAL_RESPONSE_S
        self.completion_times: collections.deque[float] = collections.deque()

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
            candidates = self.target_table.candidates(call.scope, call.tried)
            state = self._choose_within_limits(
                call, candidates, lambda _: True
            )
            if state is not None:
                return self._reserve_slot(state)
            if not candidates or time.monotonic() >= deadline:
                raise self._make_refusal(errors.ResultCode.NO_TARGET, call)
            # All are limited, and an agent's answer is on its way.
            eventlet.sleep(TOKEN_CHECK_S)

    def acquire(self, call: _call.Call) -> _target_state.TargetState:
        """Reserve a slot for the call and return its target.

        Raises
        ------
        RequestError
            No target can serve the call in time. Nothing was sent.
        """
        if not len(self.queue):
            state = self._choose_target(call)
            if state is not None:
                return self._reserve_slot(state)
        while True:
            # Checked again after each wait: targets may have closed.
            if not self.target_table.candidates(call.scope, call.tried):
                raise self._make_refusal(errors.ResultCode.NO_TARGET, call)
            max_wait_s = self._max_wait_s(call)
            call.queue_length_at_decision = len(self.queue)
            token_wait_s = self._token_wait_s(call)
            call.expected_wait_s = min(self._slot_wait_s(call), token_wait_s)
            call.max_wait_s = max_wait_s
            if max_wait_s <= 0 or call.expected_wait_s > max_wait_s:
                raise self._make_refusal(errors.ResultCode.QUEUE_FULL, call)
            telemetry.gauge(
                telemetry.Metric.QUEUE_LENGTH,
                len(self.queue) + 1,
                label=self.service,
            )
            if 0 < token_wait_s < max_wait_s:
                # An entry's own share falls due without any message.
                eventlet.spawn_after(token_wait_s, self.admit_waiting)
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
        """Free the slot of a finished attempt and admit waiting requests."""
        state.in_flight -= 1
        self.completion_times.append(time.monotonic())
        self.admit_waiting()

    def record_first_event_time(self, took_s: float) -> None:
        """Update the mean time to the first event, in seconds."""
        retained_s = FIRST_EVENT_EMA_RETENTION * self.mean_first_event_s
        self.mean_first_event_s = (
            retained_s + (1 - FIRST_EVENT_EMA_RETENTION) * took_s
        )

    def record_response_time(self, took_s: float) -> None:
        """Update the mean time of complete responses, in seconds."""
        retained_s = RESPONSE_EMA_RETENTION * self.mean_response_s
        self.mean_response_s = (
            retained_s + (1 - RESPONSE_EMA_RETENTION) * took_s
        )

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
        free = sum(self._free_places(s) for s in states)
        while len(self.queue) and free > self.queue.pending_grants:
            self.queue.grant()
        if len(self.queue):
            self._request_tokens(states, len(self.queue))

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

    def _reserve_slot(
        self, state: _target_state.TargetState
    ) -> _target_state.TargetState:
        state.in_flight += 1
        if state.tokens is not None:
            state.tokens.take()
        return state

    def _choose_target(self, call) -> _target_state.TargetState | None:
        return self._choose_within_limits(
            call,
            self.target_table.candidates(call.scope, call.tried),
            lambda state: self._free_slots(state) > 0,
        )

    def _choose_within_limits(
        self,
        call: _call.Call,
        candidates: list[_target_state.TargetState],
        has_free_slot: Callable[[_target_state.TargetState], bool],
    ) -> _target_state.TargetState | None:
        """Return the best target whose limit allows a request now.

        Load: targets in need, which take fewer requests from all entries
        together than they have slots for. One token is asked for, at the
        target that this request would have gone to, or else at the one that
        has one first.
        """
        preferred = self._choose(call, candidates, has_free_slot)
        if preferred is None or preferred.within_limit:
            return preferred
        usable = self._choose(
            call, candidates, lambda s: s.within_limit and has_free_slot(s)
        )
        if usable is not None:
            self.request_token(preferred)
        else:
            self._request_tokens(filter(has_free_slot, candidates), 1)
        return usable

    def _choose(
        self,
        call: _call.Call,
        candidates: list[_target_state.TargetState],
        has_free_slot: Callable[[_target_state.TargetState], bool],
    ) -> _target_state.TargetState | None:
        return _placement.choose_target(
            candidates,
            self.zone_penalty,
            has_free_slot,
            mean_response_s=self.mean_response_s,
            work=call.work,
        )

    def _request_tokens(
        self, states: Iterable[_target_state.TargetState], count: int
    ) -> None:
        """Ask for tokens at the targets that have one first."""
        limited = [s for s in states if not s.within_limit]
        limited.sort(key=lambda s: (s.tokens.next_in_s, random.random()))
        for state in limited[:count]:
            self.request_token(state)

    def _free_slots(self, state: _target_state.TargetState) -> int:
        # A service without engines queues and sheds load itself.
        if not self.target_table.has_engine(self.service):
            return MAX_QUEUE_LENGTH
        return state.free_slots

    def _free_places(self, state: _target_state.TargetState) -> int:
        """Return how many waiting requests a target may get now."""
        free = max(0, self._free_slots(state))
        if state.tokens is not None:
            free = min(free, state.tokens.count)
        return free

    def _slot_wait_s(self, call: _call.Call) -> float:
        """Return the estimated wait for a slot; infinite if slots are free.

        Requests that find free slots wait for tokens of targets with limits.
        """
        candidates = self.target_table.candidates(call.scope, call.tried)
        if all(s.tokens is not None for s in candidates) and any(
            self._free_slots(s) > 0 for s in candidates
        ):
            return float("inf")
        return self._expected_wait_s(call.priority)

    def _token_wait_s(self, call: _call.Call) -> float:
        """Return the estimated wait for a token; infinite without limits.

        It is the time until the next one, and for each waiting request at
        least as urgent one more at the limits.
        """
        limited = [
            s
            for s in self.target_table.candidates(call.scope, call.tried)
            if s.tokens is not None and self._free_slots(s) > 0
        ]
        if not limited:
            return float("inf")
        rate_per_s = sum(s.tokens.limit_per_s for s in limited)
        return (
            min(s.tokens.next_in_s for s in limited)
            + self.queue.count_ahead(call.priority) / rate_per_s
        )

    def _max_wait_s(self, call: _call.Call) -> float:
        until_objective_s = (
            call.objective_at
            - time.monotonic()
            - self.mean_first_event_s * FIRST_EVENT_MARGIN
        )
        return min(until_objective_s, call.remaining_s)

    def _expected_wait_s(self, priority: int) -> float:
        """Return the estimated wait at a priority, in seconds.

        It is the number of waiting requests with this priority or a more
        urgent one, plus one, divided by the completion rate.
        """
        now = time.monotonic()
        while self.completion_times and (
            self.completion_times[0] < now - COMPLETION_WINDOW_S
        ):
            self.completion_times.popleft()
        rate = max(len(self.completion_times), 1) / COMPLETION_WINDOW_S
        return (self.queue.count_ahead(priority) + 1) / rate

    def _make_refusal(
        self, code: errors.ResultCode, call: _call.Call
    ) -> errors.RequestError:
        expected_s = self._expected_wait_s(call.priority)
        wait_s = min(max(expected_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        if math.isinf(self._slot_wait_s(call)):
            # Unlike slots, tokens come at a known time.
            wait_s = max(self._token_wait_s(call), RETRY_AFTER_MIN_S)
        if code is errors.ResultCode.NO_TARGET:
            wait_s = NO_TARGET_RETRY_S
            reopens_in_s = self.target_table.reopens_in_s(self.service)
            if reopens_in_s is not None:
                return errors.RequestError(
                    code=code,
                    retry_after_s=reopens_in_s
                    + random.uniform(0.0, REOPEN_SPREAD_S),
                )
        return errors.RequestError(
            code=code, retry_after_s=wait_s * random.uniform(0.7, 1.3)
        )
