"""Sends one request to a target on a new connection.

A reused connection could close during a request that may not be retried, or
deliver the late response to an earlier request. A new connection costs one
round trip, and about 1 ms at the target.
"""

import collections
import enum
import functools
import logging
import socket
import time

import eventlet
from eventlet.green import socket as green_socket
import httptools

from zinniadyke.gateway import _memory_budget
from zinniadyke.gateway import _request
from zinniadyke.gateway import _send_progress
from zinniadyke import green_sockets
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

READ_BYTES = 16384
# Largest read of a stream, whose bytes are split into events in one turn.
STREAM_READ_BYTES = 4096
# Statuses that exist (RFC 9110, 15); those below 200 are interim responses.
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
BODILESS = (204, 304)
# Largest head, with all interim responses before it.
MAX_HEAD_BYTES = 65536
# Largest body of a response that is not a stream.
MAX_BODY_BYTES = 4 << 20
# Framing (chunk sizes, extensions, trailers) allowed beyond MAX_HEAD_BYTES,
# as a multiple of the body; a chunk of one byte has five more.
MAX_FRAMING_RATIO = 16
# Request bodies above this size are sent apart from the head, which saves a
# copy; below it, one packet has both.
MAX_JOINED_BYTES = 16384


class BrokenResponseError(Exception):
    """The target's response is incomplete or not valid HTTP."""


class SilentTargetError(BrokenResponseError):
    """Nothing arrived in time; the response may still be coming."""


class NotConnectedError(Exception):
    """No connection was established, so nothing was sent."""


class Framing(enum.Enum):
    """How the end of a response is determined."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"
    BODILESS = "bodiless"


class TargetConnection:
    """Sends one request and reads its response.

    Attributes
    ----------
    status
        Status of the response; 0 before it is known.
    invalid_status
        Status of a response that may have none such; None if none came.
    sent
        Whether a byte of the request may have reached the target.
    answers
        Budget for the body of the response.
    head_complete
        Whether the final status and all headers were read.
    complete
        Whether the complete body was read.
    """

    def __init__(
        self,
        *,
        address: str,
        method: str,
        answers: _memory_budget.MemoryBudget,
    ) -> None:
        """Prepare the request; :meth:`connect` opens the connection."""
        self.answers = answers
        self.address = address
        self.method = method
        self.sock: socket.socket | None = None
        self.sent = False
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.invalid_status: int | None = None
        self.reason = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.head_complete = False
        self.complete = False
        self.parts: collections.deque[bytes] = collections.deque()
        self.framing = Framing.CLOSE
        self.received_bytes = 0
        self.body_bytes = 0
        self.buffered_bytes = 0

    def connect(self, timeout_s: float) -> None:
        """Open the connection.

        Raises
        ------
        NotConnectedError
            The target did not accept the connection in time.
        """
        host, _, port = self.address.rpartition(":")
        sock = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(max(timeout_s, 0.001))
        try:
            sock.connect((host, int(port)))
        except OSError as error:
            sock.close()
            raise NotConnectedError(f"{self.address}: {error}")
        except BaseException:
            sock.close()
            raise
        self.sock = sock

    def send(
        self, head: bytes, body: bytes, stall_s: float, timeout_s: float
    ) -> None:
        """Send the complete request.

        Load: targets that are slow or frozen do not take a request's body.

        Parameters
        ----------
        stall_s
            Longest time in which the target takes nothing, in seconds.
        timeout_s
            Time by which the target must have taken everything, in seconds.

        Raises
        ------
        SilentTargetError
            The target did not take the request in time.
        BrokenResponseError
            The connection broke. The target may have received the request
            if ``sent`` is set.
        """
        deadline = time.monotonic() + timeout_s
        pieces = [head, body]
        if len(body) <= MAX_JOINED_BYTES:
            pieces = [head + body]
        for piece in pieces:
            rest = memoryview(piece)
            while rest:
                count = self._send_some(rest)
                if count:
                    self.sent = True
                    rest = rest[count:]
                elif not _send_progress.wait_writable(
                    self.sock.fd, stall_s, deadline - time.monotonic()
                ):
                    raise SilentTargetError(
                        "the target does not take the request"
                    )

    def _send_some(self, data: memoryview) -> int:
        """Send what the kernel accepts now; return the number of bytes."""
        try:
            return self.sock.fd.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise BrokenResponseError(f"send: {error}")

    def read_head(self, timeout_s: float) -> None:
        """Read until the status and headers are known.

        Raises
        ------
        BrokenResponseError
            No head arrived in time, or it is not valid HTTP.
        """
        with eventlet.Timeout(
            max(timeout_s, 0.001), BrokenResponseError("no response in time")
        ):
            while not self.head_complete:
                self._receive(timeout_s)

    def read_part(self, timeout_s: float) -> bytes:
        """Return what has arrived of the body; empty after the last part.

        Raises
        ------
        SilentTargetError
            No byte of the body arrived within ``timeout_s``.
        BrokenResponseError
            The body ended early.
        """
        deadline = time.monotonic() + timeout_s
        received = False
        while not self.parts:
            if self.complete:
                return b""
            remaining_s = deadline - time.monotonic()
            if received and remaining_s <= 0:
                # Bytes that are no body do not count as progress.
                raise SilentTargetError("only framing arrived in time")
            self._receive(remaining_s, STREAM_READ_BYTES)
            received = True
        part = b"".join(self.parts)
        self.parts.clear()
        return part

    def read_body(self, timeout_s: float) -> bytes:
        """Return the complete body.

        Raises
        ------
        BrokenResponseError
            The body was not complete in time.
        """
        with eventlet.Timeout(
            max(timeout_s, 0.001),
            BrokenResponseError("no complete body in time"),
        ):
            while not self.complete:
                self._receive(timeout_s)
                self._check_buffered()
        return b"".join(self.parts)

    def header(self, name: str) -> str:
        """Return the first value of a header; empty if absent."""
        return _request.find_header(self.headers, name)

    def close(self) -> None:
        """Close the connection, which cancels an unfinished request."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None
        self.parts.clear()
        self.answers.give_back(self.buffered_bytes)
        self.buffered_bytes = 0

    def shut_down(self) -> None:
        """End the connection while another task reads from it."""
        if self.sock is None:
            return
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            LOG.debug("shutdown failed", extra={"reason": str(error)})

    def _check_buffered(self) -> None:
        """Account for the body held here; break off one without end."""
        if self.body_bytes > MAX_BODY_BYTES:
            raise _over_limit("body", self.address)
        if not self.answers.take(self.body_bytes - self.buffered_bytes):
            raise _over_limit("bodies of the process", self.address)
        self.buffered_bytes = self.body_bytes

    def _check_framing(self) -> None:
        """Break off a head, interim responses or framing without end."""
        framing_bytes = self.received_bytes - self.body_bytes
        allowed = MAX_HEAD_BYTES + MAX_FRAMING_RATIO * self.body_bytes
        if not self.complete and framing_bytes > allowed:
            raise _over_limit(
                "framing" if self.head_complete else "head", self.address
            )

    def _receive(self, timeout_s: float, size: int = READ_BYTES) -> None:
        try:
            data = green_sockets.receive(
                self.sock,
                functools.partial(self.sock.fd.recv, size),
                max(timeout_s, 0.001),
            )
        except TimeoutError as error:
            raise SilentTargetError(f"receive: {error}")
        except OSError as error:
            raise BrokenResponseError(f"receive: {error}")
        if not data:
            if self.head_complete and self.framing is Framing.CLOSE:
                self.complete = True
                return
            raise BrokenResponseError("the target closed the connection")
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BrokenResponseError("the target switched protocols")
        except httptools.HttpParserError as error:
            # Bytes after a complete response belong to no request.
            if not self.complete and self.invalid_status is None:
                raise BrokenResponseError(f"not HTTP: {error}")
        if self.invalid_status is not None:
            raise BrokenResponseError(
                f"not HTTP: status {self.invalid_status}"
            )
        self._check_framing()

    def on_status(self, reason: bytes) -> None:
        """Store the reason phrase (called by httptools)."""
        if not self.head_complete:
            self.reason = reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header (called by httptools)."""
        if not self.head_complete:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Store the status of a final response (called by httptools)."""
        if self.head_complete or self.invalid_status is not None:
            return
        status = self.parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            self.invalid_status = status
            return
        if status < MIN_FINAL_STATUS:
            self.headers = []
            return
        self.status = status
        self.head_complete = True
        self.framing = self._find_framing()
        if self.framing is Framing.BODILESS:
            self.complete = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (called by httptools)."""
        if not self.complete:
            self.parts.append(body)
            self.body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete (called by httptools)."""
        if self.head_complete and self.framing is not Framing.CLOSE:
            self.complete = True

    def _find_framing(self) -> Framing:
        if self.method == "HEAD" or self.status in BODILESS:
            return Framing.BODILESS
        if self.header("transfer-encoding"):
            return Framing.CHUNKED
        if self.header("content-length"):
            return Framing.LENGTH
        return Framing.CLOSE


def _over_limit(what: str, address: str) -> BrokenResponseError:
    """Count and log a response that exceeds a limit; return its error."""
    telemetry.count(telemetry.Metric.ANSWERS_OVER_LIMIT, label=what)
    LOG.warning("answer over a limit", extra={"what": what, "from": address})
    return BrokenResponseError(f"{what} over the limit")
