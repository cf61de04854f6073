"""One attempt of a request at one target."""

from collections.abc import Callable
import http
import logging
import time

from zinniadyke.gateway import _call
from zinniadyke.gateway import _cold_source
from zinniadyke.gateway import _memory_budget
from zinniadyke.gateway import _target_connection
from zinniadyke.gateway import _target_state
from zinniadyke import platform
from zinniadyke.platform import headers
from zinniadyke import requests
from zinniadyke import telemetry
from zinniadyke import uptime

LOG = logging.getLogger(__name__)

MS_PER_S = 1000.0
MAX_LOGGED_CHARS = 40
# A healthy target accepts within a few milliseconds; a lost SYN would be
# retransmitted only after a second.
CONNECT_TIMEOUT_S = 0.3
# A connection that took longer outlasted a suspension of this process; the
# target may have become cold meanwhile.
MAX_PREPARATION_S = 0.5
# Time beyond the deadline for the response to arrive, as the target itself
# ends overdue requests at the deadline that it received.
RESPONSE_GRACE_S = 0.15

# Hop-by-hop headers, the caller's API key, and headers that the entry sets
# itself or that callers must not set.
UNFORWARDED_REQUEST_HEADERS = frozenset(
    name.encode()
    for name in (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
        headers.API_KEY,
        headers.DEADLINE_MS,
        headers.WORKSPACE,
        headers.EXPECTED_TARGET,
        headers.EXPECTED_WEIGHTS,
        headers.ENGINE_PRIORITY,
        headers.LAYER_PATH,
        headers.LAST_EVENT_ID,
    )
)
UNFORWARDED_RESPONSE_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


class Attempt:
    """Sends a call to a target and reads the head of the response.

    Attributes
    ----------
    outcome
        How the attempt ended; None while it runs.
    reason
        Cause of the outcome, for logs and error texts.
    failed_body
        Body of a response that reports the target's own failure.
    cut_off
        Whether the target ended the connection before the response did.
    withdrawn
        Whether this entry ended the connection.
    withheld
        Whether this entry sent nothing, as ``why_not_send`` named a reason.
    writing
        Whether the target went on with the answer after it began it.
    on_leaving
        Called with the attempt if the response says that the target is
        leaving, before anything is relayed.
    on_writing
        Called with the attempt when ``writing`` becomes true.
    why_not_send
        Called once the connection is made; returns why the target must not
        get the request, or an empty text.
    """

    def __init__(
        self,
        *,
        call: _call.Call,
        state: _target_state.TargetState,
        last_event_id: str,
        answers: _memory_budget.MemoryBudget,
    ) -> None:
        """Prepare the attempt; :meth:`begin` sends the request."""
        self.call = call
        self.state = state
        self.last_event_id = last_event_id
        self.connection = _target_connection.TargetConnection(
            address=state.target.address,
            method=call.request.method,
            answers=answers,
        )
        self.outcome: _call.Outcome | None = None
        self.reason = ""
        self.failed_body = b""
        self.cut_off = False
        self.withdrawn = False
        self.withheld = False
        self.writing = False
        self.first_event_at: float | None = None
        self.on_leaving: Callable[[Attempt], None] = lambda attempt: None
        self.on_writing: Callable[[Attempt], None] = lambda attempt: None
        self.why_not_send: Callable[[], str] = lambda: ""
        self.started_at = time.monotonic()
        self.prepared_at = uptime.now_s()
        # The token of this request was taken last: nothing else has run since.
        self.token_until = (
            state.tokens.taken_until if state.tokens else float("-inf")
        )

    def begin(
        self, response_timeout_s: float, start_by: float = float("inf")
    ) -> None:
        """Send the request and read the head of the response.

        Parameters
        ----------
        start_by
            Uptime by which the target must have started the request, in
            seconds.
        """
        remaining_s = self.call.remaining_s
        try:
            self.connection.connect(min(CONNECT_TIMEOUT_S, remaining_s))
        except _target_connection.NotConnectedError as error:
            self._finish(_call.Outcome.NOT_RUN, str(error))
            return
        # It may have become known while this attempt was connecting.
        reason = self.why_not_send()
        if reason:
            self.withheld = True
            self._finish(_call.Outcome.NOT_RUN, reason)
            return
        # Others may have learned it meanwhile.
        if self.state.closed or self.state.target.leaving:
            self._finish(_call.Outcome.NOT_RUN, "the target has closed")
            return
        if not self._may_send():
            # Says nothing about the target.
            self.withdrawn = True
            self._finish(_call.Outcome.NOT_RUN, "the token has expired")
            return
        response_timeout_s = min(response_timeout_s, start_by - uptime.now_s())
        if response_timeout_s <= 0:
            self.withdrawn = True
            self._finish(_call.Outcome.NOT_RUN, "too late to start")
            return
        try:
            self.connection.send(
                self._encode_head(),
                self.call.request.body,
                stall_s=response_timeout_s,
                timeout_s=self.call.remaining_s,
            )
            self.connection.read_head(
                min(
                    response_timeout_s,
                    self.call.remaining_s + RESPONSE_GRACE_S,
                )
            )
        except _target_connection.BrokenResponseError as error:
            if not self.connection.sent:
                self._finish(_call.Outcome.NOT_RUN, str(error))
                return
            self.mark_broken(error)
            return
        self._record_load()
        self._record_retry_after()
        self._check_head()
        self._record_limit()
        self._record_cold()
        if self.connection.header(headers.LEAVING) == "1":
            self.on_leaving(self)

    def read_body(self) -> bytes | None:
        """Return the complete body; None if the response broke."""
        try:
            return self.connection.read_body(
                self.call.remaining_s + RESPONSE_GRACE_S
            )
        except _target_connection.BrokenResponseError as error:
            self.mark_broken(error)
            return None

    def response_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the target's headers without hop-by-hop headers."""
        named = _connection_options(self.connection.headers)
        return [
            (name, value)
            for name, value in self.connection.headers
            if name not in UNFORWARDED_RESPONSE_HEADERS and name not in named
        ]

    def close(self) -> None:
        """Close the connection, which cancels an unfinished request."""
        self.connection.close()

    @property
    def sent(self) -> bool:
        """Whether the target may have received the request."""
        return self.connection.sent

    @property
    def refused(self) -> bool:
        """Whether the target responded that it did not run the request."""
        return self.outcome is _call.Outcome.NOT_RUN and self.sent

    @property
    def misdirected(self) -> bool:
        """Whether another target responded at the address."""
        return (
            self.refused
            and self.connection.status == http.HTTPStatus.MISDIRECTED_REQUEST
        )

    def record_event(self) -> None:
        """Record that an event of a stream has arrived."""
        now = time.monotonic()
        if self.first_event_at is None:
            self.first_event_at = now
        elif not self.writing and (
            now - self.first_event_at >= requests.WRITING_AFTER_S
        ):
            self.writing = True
            self.on_writing(self)

    def withdraw(self) -> None:
        """End the connection, so that the target drops the request."""
        self.withdrawn = True
        self.connection.shut_down()

    def mark_broken(
        self, error: _target_connection.BrokenResponseError
    ) -> None:
        """End the attempt without a complete response."""
        self.cut_off = not isinstance(
            error, _target_connection.SilentTargetError
        )
        self._finish(_call.Outcome.BROKEN, str(error))

    def mark_failed(self, body: bytes) -> None:
        """End the attempt with the target's own failure."""
        self.failed_body = body
        self._finish(_call.Outcome.FAILED, f"failed: {self.connection.status}")

    def _finish(self, outcome: _call.Outcome, reason: str) -> None:
        self.outcome = outcome
        self.reason = reason
        self.close()

    def _check_head(self) -> None:
        response = self.connection
        echoed = response.header(headers.REQUEST_ID)
        if echoed and echoed != self.call.id:
            self._finish(_call.Outcome.BROKEN, "answer to another request")
            return
        refused = response.status == http.HTTPStatus.MISDIRECTED_REQUEST
        if refused or response.header(headers.NOT_RUN):
            if not echoed:
                self._finish(_call.Outcome.BROKEN, "refusal without an id")
                return
            self._finish(_call.Outcome.NOT_RUN, f"refused: {response.status}")
            return
        if response.status < http.HTTPStatus.BAD_REQUEST and (
            not echoed
            or not response.header(headers.SIGNATURE)
            or response.header("content-encoding")
        ):
            self._finish(_call.Outcome.BROKEN, "answer without signature")

    def _record_load(self) -> None:
        text = self.connection.header(headers.TARGET_LOAD)
        load = platform.parse_load(text)
        if load is None:
            return
        if load.running is not None:
            self.state.record_load(load.running, load.waiting)
        if load.slowness is not None:
            self.state.record_slowness(load.slowness)
        if load.unusable and not self.state.load_header_logged:
            # The target may state it in each answer.
            self.state.load_header_logged = True
            LOG.warning(
                "figures of a target's load unusable, ignored",
                extra={
                    "target": self.state.target.id,
                    "service": self.state.target.service,
                    "value": text[:MAX_LOGGED_CHARS],
                },
            )

    def _record_limit(self) -> None:
        """Record the limit that the target names, or that it names none.

        What is no answer of the target, or of another one, says nothing.
        """
        if self.outcome is _call.Outcome.BROKEN or self.misdirected:
            return
        text = self.connection.header(headers.TARGET_LIMIT)
        limit_per_s = platform.parse_limit(text, self.connection.address)
        if limit_per_s is not None:
            self.state.record_limit(limit_per_s)
        elif not text:
            self.state.record_no_limit(self.started_at)

    def _may_send(self) -> bool:
        """Whether the request may reach a target that is or may be cold.

        Load: entries that were suspended after they had chosen the target,
        and connections that open late.
        """
        if self.state.cold_limit is None:
            return True
        now = uptime.now_s()
        if self.state.limited_as_cold:
            return now <= self.token_until
        return now <= self.prepared_at + MAX_PREPARATION_S

    def _record_cold(self) -> None:
        """Record for how long the target says that it is cold."""
        if self.outcome is _call.Outcome.BROKEN or self.misdirected:
            return
        cold_s = platform.parse_cold(
            self.connection.header(headers.COLD_MS), self.connection.address
        )
        if cold_s is not None:
            self.state.record_cold(cold_s, _cold_source.ColdSource.ANSWER)

    def _record_retry_after(self) -> None:
        """Send the target nothing for the time that its 503 asks for."""
        if self.connection.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
            return
        seconds = platform.parse_retry_after(
            self.connection.header(headers.RETRY_AFTER),
            self.connection.address,
        )
        if not seconds:
            return
        self.state.close_for(seconds)
        telemetry.count(
            telemetry.Metric.TARGETS_CLOSED, label=self.state.target.service
        )
        LOG.info(
            "target wants no requests",
            extra={
                "request": self.call.id,
                "target": self.state.target.id,
                "service": self.state.target.service,
                "s": seconds,
            },
        )

    def _encode_head(self) -> bytes:
        call, request = self.call, self.call.request
        dropped = _connection_options(request.headers)
        lines = [
            b"%b %b HTTP/1.1\r\n" % (request.method.encode(), request.target)
        ]
        for name, value in request.headers:
            if name not in UNFORWARDED_REQUEST_HEADERS and name not in dropped:
                lines.append(b"%b: %b\r\n" % (name, value))
        remaining_ms = max(int(call.remaining_s * MS_PER_S), 1)
        entry_headers = [
            (headers.DEADLINE_MS, str(remaining_ms)),
            (headers.EXPECTED_TARGET, self.state.target.id),
        ]
        if call.workspace is not None:
            entry_headers.append((headers.WORKSPACE, call.workspace))
        if call.engine_priority is not None:
            entry_headers.append(
                (headers.ENGINE_PRIORITY, str(call.engine_priority))
            )
        if self.last_event_id:
            entry_headers.append((headers.LAST_EVENT_ID, self.last_event_id))
        if request.body or request.header_count("content-length"):
            entry_headers.append(("content-length", str(len(request.body))))
        lines.extend(
            f"{n}: {v}\r\n".encode("latin-1") for n, v in entry_headers
        )
        return b"".join(lines) + b"\r\n"


def _connection_options(pairs: list[tuple[bytes, bytes]]) -> set[bytes]:
    """Return the header names listed in Connection headers."""
    named: set[bytes] = set()
    for name, value in pairs:
        if name == b"connection":
            named.update(v.strip().lower() for v in value.split(b","))
    # A peer must not remove the headers that identify the request.
    return {n for n in named if not n.startswith(b"x-zinniadyke-")}
