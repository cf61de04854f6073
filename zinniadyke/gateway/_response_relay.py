"""Relays one call's response to its caller, across attempts."""

from collections.abc import Callable
import http
import logging
import time

from zinniadyke import decimal_text
from zinniadyke import directory
from zinniadyke import errors
from zinniadyke.gateway import _attempt
from zinniadyke.gateway import _call
from zinniadyke.gateway import _caller_connection
from zinniadyke.gateway import _events
from zinniadyke.gateway import _target_connection
from zinniadyke import uptime

LOG = logging.getLogger(__name__)

# Silence after which a stream resumes at another target: before the first
# event, and between events.
FIRST_EVENT_TIMEOUT_S = 1.6
EVENT_TIMEOUT_S = 1.2
# Part of the remaining time after which an idempotent request without a
# response is retried.
RESPONSE_TIMEOUT_SHARE = 0.5
EVENT_STREAM = "text/event-stream"
# Retry-After for a request that all attempted targets refused.
REFUSED_RETRY_S = 0.3


class ResponseRelay:
    """Relays one call's response to its caller, across attempts.

    Attributes
    ----------
    last_event_id
        Id of the last event sent to the caller.
    streaming
        Whether a streamed response to the caller has started.
    can_resume
        Returns whether another target could go on with a call's stream now.
    may_have_run
        Whether an earlier attempt broke or failed, so that the request may
        have run.
    """

    def __init__(
        self, *, call: _call.Call, caller: _caller_connection.CallerConnection
    ) -> None:
        """Start with nothing sent to the caller."""
        self.call = call
        self.caller = caller
        self.last_event_id = call.last_event_id
        self.streaming = False
        self.may_have_run = False
        # Attempt whose failed response may be the call's result.
        self.failed: _attempt.Attempt | None = None
        self.start_by = float("inf")
        self.can_resume: Callable[[_call.Call], bool] = lambda call: True

    def run(self, attempt: _attempt.Attempt, start_by: float) -> None:
        """Make one attempt and relay its response.

        Parameters
        ----------
        start_by
            Uptime by which the target must have started the request, in
            seconds.
        """
        self._drop_failed_body()
        self.start_by = start_by
        self._run_attempt(attempt)
        if attempt.outcome in (_call.Outcome.BROKEN, _call.Outcome.FAILED):
            self.may_have_run = True

    def _run_attempt(self, attempt: _attempt.Attempt) -> None:
        attempt.begin(self._response_timeout_s(), self.start_by)
        if attempt.outcome is not None:
            return
        response = attempt.connection
        if self._is_stream(response):
            self._relay_stream(attempt)
            return
        body = attempt.read_body()
        if body is None:
            return
        if (
            response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
            or status_means_not_run(response.status)
            # A response of another kind cannot continue a started stream.
            or self.streaming
        ):
            attempt.mark_failed(body)
            self.failed = attempt
            self.caller.memory.hold(len(body))
            return
        self._relay_response(attempt, body)
        attempt.outcome = _call.Outcome.ANSWERED

    def certainly_not_run(self, attempt: _attempt.Attempt) -> bool:
        """Whether no target ran the request, up to its last attempt."""
        return (
            attempt.outcome is _call.Outcome.NOT_RUN
            and not self.may_have_run
            and not self.streaming
        )

    def give_up(self, attempt: _attempt.Attempt) -> None:
        """End the call with the result of its last attempt.

        Raises
        ------
        RequestError
            The final result; nothing was sent to the caller.
        """
        try:
            self._end_with(attempt)
        finally:
            self._drop_failed_body()

    def _drop_failed_body(self) -> None:
        """Drop a failed response, which was kept while a retry waited."""
        if self.failed is not None:
            self.caller.memory.give_back(len(self.failed.failed_body))
            self.failed.failed_body = b""
            self.failed = None

    def _end_with(self, attempt: _attempt.Attempt) -> None:
        if self.streaming:
            LOG.info("stream aborted", extra={"request": self.call.id})
            self.caller.abort()
            return
        if attempt.outcome is _call.Outcome.FAILED:
            if status_means_not_run(attempt.connection.status):
                # Relaying the status would tell the caller, without proof,
                # that the request never ran.
                raise errors.RequestError(code=errors.ResultCode.TARGET_FAILED)
            self._relay_response(attempt, attempt.failed_body)
            return
        if self.certainly_not_run(attempt):
            raise errors.RequestError(
                attempt.reason,
                code=errors.ResultCode.TARGET_BUSY,
                retry_after_s=REFUSED_RETRY_S,
            )
        code = errors.ResultCode.STREAM_BROKEN
        if self.call.remaining_s <= 0:
            code = errors.ResultCode.OUTCOME_UNKNOWN
        raise errors.RequestError(attempt.reason, code=code)

    def _is_stream(
        self, response: _target_connection.TargetConnection
    ) -> bool:
        content_type = response.header("content-type") or EVENT_STREAM
        return (
            self.call.route.streaming
            and response.status == http.HTTPStatus.OK
            and content_type.startswith(EVENT_STREAM)
        )

    def _event_timeout_s(self) -> float:
        """Return the silence after which a stream resumes elsewhere."""
        last = len(self.call.tried) >= self.call.route.max_attempts
        if (
            last
            or self.call.route.retry_mode is not directory.RetryMode.RESUME
        ):
            return float("inf")
        return EVENT_TIMEOUT_S

    def _response_timeout_s(self) -> float:
        remaining_s = max(self.call.remaining_s, 0.0)
        last = len(self.call.tried) >= self.call.route.max_attempts
        retry_mode = self.call.route.retry_mode
        if retry_mode is directory.RetryMode.NEVER or last:
            return remaining_s + _attempt.RESPONSE_GRACE_S
        if retry_mode is directory.RetryMode.RESUME:
            return min(FIRST_EVENT_TIMEOUT_S, remaining_s)
        return max(
            remaining_s * RESPONSE_TIMEOUT_SHARE, self.call.route.objective_s
        )

    def _relay_stream(self, attempt: _attempt.Attempt) -> None:
        splitter = _events.EventSplitter()
        response = attempt.connection
        # Bytes that complete no event do not count as progress.
        waiting_since = time.monotonic()
        timeout_s = min(
            self._response_timeout_s(), self.start_by - uptime.now_s()
        )
        overdue = False
        try:
            while True:
                remaining_s = self.call.remaining_s + _attempt.RESPONSE_GRACE_S
                waited_s = time.monotonic() - waiting_since
                limit_s = min(timeout_s - waited_s, remaining_s)
                try:
                    if overdue and limit_s <= 0 and not response.complete:
                        raise _target_connection.SilentTargetError(
                            "no event in time, although bytes arrive"
                        )
                    # What arrived while this process stood still is read once
                    # more.
                    overdue = limit_s <= 0
                    part = response.read_part(limit_s)
                except _target_connection.SilentTargetError:
                    slow = self.streaming and remaining_s > 0
                    if slow and not self.can_resume(self.call):
                        # Nobody else can go on with it, so wait for its end.
                        timeout_s = float("inf")
                        continue
                    raise
                if not part:
                    break
                events = self._new_events(splitter.feed(part))
                if events:
                    attempt.record_event()
                    self._relay_part(attempt, b"".join(events))
                    waiting_since = time.monotonic()
                    timeout_s = self._event_timeout_s()
        except _events.EventTooLargeError:
            attempt.mark_broken(
                _target_connection.BrokenResponseError("event over the limit")
            )
            return
        except _target_connection.BrokenResponseError as error:
            attempt.mark_broken(error)
            return
        if splitter.within_event:
            attempt.mark_broken(
                _target_connection.BrokenResponseError(
                    "the stream ended within an event"
                )
            )
            return
        if (
            attempt.first_event_at is None
            and response.framing is _target_connection.Framing.CLOSE
        ):
            # Only the close ends it, as it does when the target crashes.
            attempt.mark_broken(
                _target_connection.BrokenResponseError(
                    "the stream ended before its first event"
                )
            )
            return
        if splitter.buffer or not self.streaming:
            self._relay_part(attempt, bytes(splitter.buffer))
        self.caller.end_stream()
        attempt.outcome = _call.Outcome.ANSWERED

    def _new_events(self, events: list[bytes]) -> list[bytes]:
        """Return the events that the caller has not received yet."""
        fresh = []
        for event in events:
            number = _events.event_number(event)
            if number is not None:
                last = decimal_text.parse_count(self.last_event_id)
                if last is not None and number <= last:
                    continue
                self.last_event_id = str(number)
            fresh.append(event)
        return fresh

    def _relay_part(self, attempt: _attempt.Attempt, part: bytes) -> None:
        self.call.record_part()
        if self.streaming:
            self.caller.send_part(part)
            return
        self.streaming = True
        self.caller.start_stream(
            attempt.connection.status,
            attempt.response_headers(),
            part,
            chunked=self.call.request.http_1_1,
        )

    def _relay_response(self, attempt: _attempt.Attempt, body: bytes) -> None:
        response = attempt.connection
        # The body counts for the caller's connection from here on, and the
        # target need not wait for the caller.
        attempt.close()
        if response.framing is _target_connection.Framing.BODILESS:
            self.caller.send_bodiless(response.status, response.headers)
            return
        self.caller.send_response(
            response.status, attempt.response_headers(), body
        )


def status_means_not_run(status: int) -> bool:
    """Whether a status tells callers that their request never ran."""
    return status in (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    )
