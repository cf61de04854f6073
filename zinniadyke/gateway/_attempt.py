"""One attempt of a request at one target."""

import http
import time

from zinniadyke.gateway import _call
from zinniadyke.gateway import _target_connection
from zinniadyke.gateway import _target_state
from zinniadyke.platform import headers

MS_PER_S = 1000.0
# A target that is up takes a connection within a few milliseconds; a lost
# opening packet would be sent again only after a second.
CONNECT_TIMEOUT_S = 0.3
# The target ends an overdue request itself at the deadline that it was
# told; its answer has this long to arrive.
ANSWER_SLACK_S = 0.15

# Headers that concern one connection only, and those that only entries set.
NOT_PASSED_ON = frozenset(
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
NOT_PASSED_BACK = frozenset(
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
    """Sends a call to a target and reads the head of the answer.

    Attributes
    ----------
    outcome
        How it ended; None while an answer is being read.
    reason
        Why it ended so, for logs.
    """

    def __init__(
        self,
        *,
        call: _call.Call,
        state: _target_state.TargetState,
        last_event_id: str,
    ) -> None:
        """Prepare; :meth:`begin` sends."""
        self.call = call
        self.state = state
        self.last_event_id = last_event_id
        self.connection = _target_connection.TargetConnection(
            address=state.target.address, method=call.request.method
        )
        self.outcome: _call.Outcome | None = None
        self.reason = ""
        self.failed_body = b""
        self.begun_at = time.monotonic()

    def begin(self, answer_timeout_s: float) -> None:
        """Send the request and read the head of the answer."""
        remaining_s = self.call.remaining_s
        try:
            self.connection.connect(min(CONNECT_TIMEOUT_S, remaining_s))
        except _target_connection.NotConnectedError as error:
            self._end(_call.Outcome.NOT_RUN, str(error))
            return
        try:
            self.connection.send(self._encode(), remaining_s)
            self.connection.read_head(
                min(answer_timeout_s, self.call.remaining_s + ANSWER_SLACK_S)
            )
        except _target_connection.BrokenAnswerError as error:
            self._end(_call.Outcome.BROKEN, str(error))
            return
        self._record_load()
        self._judge_head()

    def read_whole(self) -> bytes | None:
        """Return the whole body; None when the answer broke."""
        try:
            return self.connection.read_whole(
                self.call.remaining_s + ANSWER_SLACK_S
            )
        except _target_connection.BrokenAnswerError as error:
            self._end(_call.Outcome.BROKEN, str(error))
            return None

    def answer_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the target's headers without those of its connection."""
        named = _connection_options(self.connection.headers)
        return [
            (name, value)
            for name, value in self.connection.headers
            if name not in NOT_PASSED_BACK and name not in named
        ]

    def close(self) -> None:
        """Drop the connection, which cancels an unfinished request."""
        self.connection.close()

    @property
    def sent(self) -> bool:
        """Whether the target may have the request."""
        return self.connection.sent

    @property
    def refused(self) -> bool:
        """Whether the target itself answered that it did not run it."""
        return self.outcome is _call.Outcome.NOT_RUN and self.sent

    @property
    def misdirected(self) -> bool:
        """Whether another target answered at the address."""
        return (
            self.refused
            and self.connection.status == http.HTTPStatus.MISDIRECTED_REQUEST
        )

    def break_off(self, reason: str) -> None:
        """End as broken: no whole answer came."""
        self._end(_call.Outcome.BROKEN, reason)

    def fail(self, body: bytes) -> None:
        """End with the target's own failure."""
        self.failed_body = body
        self._end(_call.Outcome.FAILED, f"failed: {self.connection.status}")

    def _end(self, outcome: _call.Outcome, reason: str) -> None:
        self.outcome = outcome
        self.reason = reason
        self.close()

    def _judge_head(self) -> None:
        answer = self.connection
        echoed = answer.header(headers.REQUEST_ID)
        if echoed and echoed != self.call.id:
            self._end(_call.Outcome.BROKEN, "answer to another request")
            return
        refused = answer.status == http.HTTPStatus.MISDIRECTED_REQUEST
        if refused or answer.header(headers.NOT_RUN):
            self._end(_call.Outcome.NOT_RUN, f"refused: {answer.status}")
            return
        if answer.status < http.HTTPStatus.BAD_REQUEST and (
            not echoed
            or not answer.header(headers.SIGNATURE)
            or answer.header("content-encoding")
        ):
            self._end(_call.Outcome.BROKEN, "answer without signature")

    def _record_load(self) -> None:
        parts = self.connection.header(headers.TARGET_LOAD).split(",")
        if len(parts) == 3 and all(p.strip().isdigit() for p in parts):
            self.state.record_load(int(parts[0]), int(parts[1]))

    def _encode(self) -> bytes:
        call, request = self.call, self.call.request
        dropped = _connection_options(request.headers)
        lines = [
            b"%b %b HTTP/1.1\r\n" % (request.method.encode(), request.target)
        ]
        for name, value in request.headers:
            if name not in NOT_PASSED_ON and name not in dropped:
                lines.append(b"%b: %b\r\n" % (name, value))
        left_ms = max(int(call.remaining_s * MS_PER_S), 1)
        own = [
            (headers.DEADLINE_MS, str(left_ms)),
            (headers.EXPECTED_TARGET, self.state.target.id),
        ]
        if call.workspace is not None:
            own.append((headers.WORKSPACE, call.workspace))
        if self.last_event_id:
            own.append((headers.LAST_EVENT_ID, self.last_event_id))
        if request.body or request.count("content-length"):
            own.append(("content-length", str(len(request.body))))
        lines.extend(f"{n}: {v}\r\n".encode("latin-1") for n, v in own)
        return b"".join(lines) + b"\r\n" + request.body


def _connection_options(pairs: list[tuple[bytes, bytes]]) -> set[bytes]:
    """Return the headers that a Connection header names."""
    named: set[bytes] = set()
    for name, value in pairs:
        if name == b"connection":
            named.update(v.strip().lower() for v in value.split(b","))
    # A peer must not strip what identifies the request.
    return {n for n in named if not n.startswith(b"x-zinniadyke-")}
