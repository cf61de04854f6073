"""Forwards a call: attempts, repeats and the answer to the caller.

What may be repeated follows from the route. A request that may not is sent
once more only after proof that it has not run.
"""

import http
import logging
import math
import time

from zinniadyke import directory
from zinniadyke import errors
from zinniadyke.gateway import _admission
from zinniadyke.gateway import _attempt
from zinniadyke.gateway import _book
from zinniadyke.gateway import _call
from zinniadyke.gateway import _caller
from zinniadyke.gateway import _events
from zinniadyke.gateway import _target_connection
from zinniadyke.gateway import _target_state
from zinniadyke import ids
from zinniadyke import requests
from zinniadyke import settings
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

# Silence before the first event, and between events, after which a stream
# is taken up at another target.
FIRST_EVENT_TIMEOUT_S = 1.6
EVENT_TIMEOUT_S = 1.2
# Silence after which an idempotent request goes to another target, as a
# share of the time that is left for it.
SILENCE_SHARE = 0.5
# Part of the operators' bound on second attempts that is used.
RETRY_SHARE_USED = 0.9
# Entries that are taken to share the bound while fewer are known.
FEWEST_ENTRIES = 5
# Targets that one request may be placed at while none took its connection.
MAX_PLACEMENTS = 4
# When a caller may come back after targets refused its request, in seconds.
REFUSED_RETRY_S = 0.3


class Forwarder:
    """Serves calls with the targets of the directory.

    Parameters
    ----------
    distance
        Load that reaching an availability zone is worth.
    """

    def __init__(
        self,
        *,
        view: directory.View,
        book: _book.TargetBook,
        distance,
        bounds: settings.BoundsSection,
    ) -> None:
        """Start with nothing in flight."""
        self.bounds = bounds
        self.view = view
        self.book = book
        self.distance = distance
        self.admissions: dict[ids.ServiceName, _admission.Admission] = {}
        self.budgets: dict[ids.ServiceName, requests.RetryBudget] = {}
        view.on_change.append(self.pump)

    def pump(self) -> None:
        """Let waiting requests go on where places became free."""
        for admission in self.admissions.values():
            admission.pump()

    def serve(self, call: _call.Call, caller: _caller.Caller) -> None:
        """Answer a call.

        Raises
        ------
        RequestError
            Nothing was sent to the caller; this is its final answer.
        """
        admission = self._admission(call.service)
        self._budget(call.service).deposit()
        exchange = Exchange(call=call, caller=caller)
        first = attempt = None
        while True:
            try:
                if attempt is None:
                    state = admission.acquire(call)
                else:
                    state = admission.acquire_again(call)
            except errors.RequestError:
                if attempt is None:
                    raise
                exchange.give_up(attempt)
                return
            attempt = self._new_attempt(exchange, state)
            first = first or attempt
            begin_by = self.book.begin_by(state, call.model)
            try:
                exchange.run(attempt, begin_by - time.monotonic())
            finally:
                attempt.close()
                admission.release(state)
            if attempt is first and call.first_part_at is not None:
                admission.note_first_event(call.first_part_at - call.sent_at)
            telemetry.count(
                telemetry.Metric.ATTEMPTS, label=attempt.outcome.value
            )
            self._judge(attempt, state)
            if attempt.outcome is _call.Outcome.ANSWERED:
                return
            if not self._may_repeat(exchange, attempt):
                exchange.give_up(attempt)
                return

    def _new_attempt(
        self, exchange: "Exchange", state: _target_state.TargetState
    ) -> _attempt.Attempt:
        call = exchange.call
        call.tried.append(state.target.id)
        if call.sent_at is None:
            call.sent_at = time.monotonic()
            call.load_then = state.load
            call.load_age_s = call.sent_at - state.reported_at
        return _attempt.Attempt(
            call=call,
            state=state,
            last_event_id=exchange.last_event_id,
            weights_version=0,
        )

    def _judge(
        self, attempt: _attempt.Attempt, state: _target_state.TargetState
    ) -> None:
        if attempt.outcome in (
            _call.Outcome.ANSWERED,
            _call.Outcome.FAILED,
        ):
            state.note_success()
            return
        rests = state.note_failure() if not attempt.refused else False
        if rests:
            telemetry.count(
                telemetry.Metric.TARGET_RESTS, label=state.target.service
            )
        LOG.info(
            "attempt ended",
            extra={
                "request": attempt.call.id,
                "target": state.target.id,
                "outcome": attempt.outcome.value,
                "reason": attempt.reason,
                "after_ms": _ms_since(attempt.begun_at),
                "target_load": state.load,
                "target_rests": rests,
            },
        )

    def _may_repeat(
        self, exchange: "Exchange", attempt: _attempt.Attempt
    ) -> bool:
        call = exchange.call
        if len(call.tried) >= call.route.max_attempts and attempt.sent:
            return False
        if call.left_s <= 0:
            return False
        never = call.route.repeat is directory.Repeat.NEVER
        if never and attempt.outcome is not _call.Outcome.NOT_RUN:
            return False
        if exchange.streaming and (
            call.route.repeat is not directory.Repeat.RESUME
        ):
            return False
        if not attempt.sent:
            # Nothing reached a target, so it does not count as an attempt.
            return len(call.tried) < MAX_PLACEMENTS
        allowed = self._budget(call.service).withdraw()
        if allowed:
            telemetry.count(telemetry.Metric.ATTEMPTS_REPEATED)
        return allowed

    def _admission(self, service: ids.ServiceName) -> _admission.Admission:
        if service not in self.admissions:
            self.admissions[service] = _admission.Admission(
                book=self.book, service=service, distance=self.distance
            )
        return self.admissions[service]

    def _budget(self, service: ids.ServiceName) -> requests.RetryBudget:
        if service not in self.budgets:
            self.budgets[service] = requests.RetryBudget(
                ratio=self.bounds.retry_ratio * RETRY_SHARE_USED
            )
        found = self.budgets[service]
        found.limit(
            self.bounds.retry_extra * RETRY_SHARE_USED / self._entries()
        )
        return found

    def _entries(self) -> int:
        """Return how many entries share the budget, as agents tell."""
        told = (state.entries for state in self.book.states.values())
        return max(FEWEST_ENTRIES, *told, FEWEST_ENTRIES)


class Exchange:
    """One call's answer to its caller, across attempts.

    Attributes
    ----------
    last_event_id
        Last event that the caller has.
    streaming
        Whether a part of the answer was passed on.
    uncertain
        Whether an attempt broke, so that the request may have run.
    """

    def __init__(self, *, call: _call.Call, caller: _caller.Caller) -> None:
        """Start with nothing passed on."""
        self.call = call
        self.caller = caller
        self.last_event_id = call.last_event_id
        self.streaming = False
        self.uncertain = False
        self.begin_s = float("inf")

    def run(self, attempt: _attempt.Attempt, begin_s: float) -> None:
        """Make one attempt and pass on what it brings.

        Parameters
        ----------
        begin_s
            Time within which the request must begin there, in seconds.
        """
        self.begin_s = begin_s
        self._run(attempt)
        if attempt.outcome is _call.Outcome.BROKEN:
            self.uncertain = True

    def _run(self, attempt: _attempt.Attempt) -> None:
        attempt.begin(min(self._answer_timeout_s(), self.begin_s))
        if attempt.outcome is not None:
            return
        answer = attempt.connection
        if self.call.route.streaming and answer.status == http.HTTPStatus.OK:
            self._relay_stream(attempt)
            return
        body = attempt.read_whole()
        if body is None:
            return
        if (
            answer.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
            or promises_not_run(answer.status)
            or self.streaming
        ):
            attempt.fail(body)
            return
        self._pass_on(attempt, body)
        attempt.outcome = _call.Outcome.ANSWERED

    def give_up(self, attempt: _attempt.Attempt) -> None:
        """Give the final answer after the last attempt."""
        if self.streaming:
            LOG.info("stream broken off", extra={"request": self.call.id})
            self.caller.abort()
            return
        if attempt.outcome is _call.Outcome.FAILED:
            if promises_not_run(attempt.connection.status):
                raise errors.RequestError(code=errors.ResultCode.TARGET_FAILED)
            self._pass_on(attempt, attempt.failed_body)
            return
        if attempt.outcome is _call.Outcome.NOT_RUN and not self.uncertain:
            raise errors.RequestError(
                attempt.reason,
                code=errors.ResultCode.TARGET_BUSY,
                retry_after_s=REFUSED_RETRY_S,
            )
        code = errors.ResultCode.STREAM_BROKEN
        if self.call.left_s <= 0:
            code = errors.ResultCode.OUTCOME_UNKNOWN
        raise errors.RequestError(attempt.reason, code=code)

    def _answer_timeout_s(self) -> float:
        left_s = max(self.call.left_s, 0.0)
        last = len(self.call.tried) >= self.call.route.max_attempts
        repeat = self.call.route.repeat
        if repeat is directory.Repeat.NEVER or last:
            return left_s + _attempt.ANSWER_SLACK_S
        if repeat is directory.Repeat.RESUME:
            return min(FIRST_EVENT_TIMEOUT_S, left_s)
        return max(left_s * SILENCE_SHARE, self.call.route.objective_s)

    def _relay_stream(self, attempt: _attempt.Attempt) -> None:
        splitter = _events.EventSplitter()
        answer = attempt.connection
        timeout_s = min(self._answer_timeout_s(), self.begin_s)
        try:
            while part := answer.read_part(
                min(timeout_s, self.call.left_s + _attempt.ANSWER_SLACK_S)
            ):
                events = self._new_events(splitter.feed(part))
                if events:
                    self._pass_part(attempt, b"".join(events))
                    timeout_s = EVENT_TIMEOUT_S
        except _target_connection.BrokenAnswerError as error:
            attempt.break_off(str(error))
            return
        if splitter.rest:
            attempt.break_off("the stream ended within an event")
            return
        if not self.streaming:
            self._pass_part(attempt, b"")
        self.caller.end_stream()
        attempt.outcome = _call.Outcome.ANSWERED

    def _new_events(self, events: list[bytes]) -> list[bytes]:
        """Return the events that the caller does not have yet."""
        fresh = []
        for event in events:
            number = _events.event_id(event)
            if number is not None:
                last = self.last_event_id
                if last.isdigit() and number <= int(last):
                    continue
                self.last_event_id = str(number)
            fresh.append(event)
        return fresh

    def _pass_part(self, attempt: _attempt.Attempt, part: bytes) -> None:
        self.call.note_part()
        if self.streaming:
            self.caller.send_part(part)
            return
        self.streaming = True
        self.caller.start_stream(
            attempt.connection.status,
            attempt.answer_headers(),
            part,
            chunked=self.call.request.http_1_1,
        )

    def _pass_on(self, attempt: _attempt.Attempt, body: bytes) -> None:
        answer = attempt.connection
        if answer.framing is _target_connection.Framing.BODILESS:
            self.caller.send_bodiless(answer.status, answer.headers)
            return
        self.caller.send_whole(answer.status, attempt.answer_headers(), body)


def promises_not_run(status: int) -> bool:
    """Whether a status tells callers that a request never runs."""
    return status in (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    )


def _ms_since(moment: float) -> int:
    return math.ceil((time.monotonic() - moment) * 1000)
