"""One call's answer to its caller, across attempts."""

import http
import logging

from zinniadyke import directory
from zinniadyke import errors
from zinniadyke.gateway import _attempt
from zinniadyke.gateway import _call
from zinniadyke.gateway import _caller
from zinniadyke.gateway import _events
from zinniadyke.gateway import _target_connection

LOG = logging.getLogger(__name__)

# Silence before the first event, and between events, after which a stream
# is taken up at another target.
FIRST_EVENT_TIMEOUT_S = 1.6
EVENT_TIMEOUT_S = 1.2
# Silence after which an idempotent request goes to another target, as a
# share of the time that is left for it.
SILENCE_SHARE = 0.5
# Media type of streams.
EVENT_STREAM = "text/event-stream"
# When a caller may come back after targets refused its request, in seconds.
REFUSED_RETRY_S = 0.3


class Exchange:
    """One call's answer to its caller, across attempts.

    Attributes
    ----------
    last_event_id
        Last event that the caller has.
    streaming
        Whether a part of the answer was passed on.
    uncertain
        Whether an attempt broke or failed, so that the request may have
        run.
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
        if attempt.outcome in (_call.Outcome.BROKEN, _call.Outcome.FAILED):
            self.uncertain = True

    def _run(self, attempt: _attempt.Attempt) -> None:
        attempt.begin(min(self._answer_timeout_s(), self.begin_s))
        if attempt.outcome is not None:
            return
        answer = attempt.connection
        if self._is_stream(answer):
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
        if self.call.remaining_s <= 0:
            code = errors.ResultCode.OUTCOME_UNKNOWN
        raise errors.RequestError(attempt.reason, code=code)

    def _is_stream(self, answer: _target_connection.TargetConnection) -> bool:
        content_type = answer.header("content-type") or EVENT_STREAM
        return (
            self.call.route.streaming
            and answer.status == http.HTTPStatus.OK
            and content_type.startswith(EVENT_STREAM)
        )

    def _event_timeout_s(self) -> float:
        """Return the silence after which a stream goes on elsewhere."""
        last = len(self.call.tried) >= self.call.route.max_attempts
        if last or self.call.route.repeat is not directory.Repeat.RESUME:
            return float("inf")
        return EVENT_TIMEOUT_S

    def _answer_timeout_s(self) -> float:
        remaining_s = max(self.call.remaining_s, 0.0)
        last = len(self.call.tried) >= self.call.route.max_attempts
        repeat = self.call.route.repeat
        if repeat is directory.Repeat.NEVER or last:
            return remaining_s + _attempt.ANSWER_SLACK_S
        if repeat is directory.Repeat.RESUME:
            return min(FIRST_EVENT_TIMEOUT_S, remaining_s)
        return max(remaining_s * SILENCE_SHARE, self.call.route.objective_s)

    def _relay_stream(self, attempt: _attempt.Attempt) -> None:
        splitter = _events.EventSplitter()
        answer = attempt.connection
        timeout_s = min(self._answer_timeout_s(), self.begin_s)
        try:
            while part := answer.read_part(
                min(timeout_s, self.call.remaining_s + _attempt.ANSWER_SLACK_S)
            ):
                events = self._new_events(splitter.feed(part))
                if events:
                    self._pass_part(attempt, b"".join(events))
                    timeout_s = self._event_timeout_s()
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
