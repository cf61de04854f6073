"""Sends one request to a target on a new connection.

A reused connection could close during a request that may not be retried, or
deliver the late response to an earlier request. A new connection costs one
round trip, and about 1 ms at the target.
"""

import collections
import enum
import socket

import eventlet
from eventlet.green import socket as green_socket
from eventlet import hubs
import httptools

from zinniadyke.gateway import _request

READ_BYTES = 16384
# Lower statuses are interim responses.
MIN_FINAL_STATUS = 200
BODILESS = (204, 304)


class BrokenResponseError(Exception):
    """The target's response is incomplete or not valid HTTP."""


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
    sent
        Whether a byte of the request may have reached the target.
    head_complete
        Whether the final status and all headers were read.
    complete
        Whether the complete body was read.
    """

    def __init__(self, *, address: str, method: str) -> None:
        """Prepare the request; :meth:`connect` opens the connection."""
        self.address = address
        self.method = method
        self.sock: socket.socket | None = None
        self.sent = False
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.reason = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.head_complete = False
        self.complete = False
        self.parts: collections.deque[bytes] = collections.deque()
        self.framing = Framing.CLOSE

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

    def send(self, data: bytes, timeout_s: float) -> None:
        """Send the complete request.

        Raises
        ------
        BrokenResponseError
            The connection broke; the target may have received the request.
        """
        self.sent = True
        self.sock.settimeout(max(timeout_s, 0.001))
        try:
            self.sock.sendall(data)
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
        """Return the next part of the body; empty after the last one.

        Raises
        ------
        BrokenResponseError
            The body ended early, or nothing arrived for ``timeout_s``.
        """
        while not self.parts:
            if self.complete:
                return b""
            self._receive(timeout_s)
        return self.parts.popleft()

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
        return b"".join(self.parts)

    def header(self, name: str) -> str:
        """Return the first value of a header; empty if absent."""
        return _request.find_header(self.headers, name)

    def close(self) -> None:
        """Close the connection, which cancels an unfinished request."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def _receive(self, timeout_s: float) -> None:
        try:
            data = _receive(self.sock, max(timeout_s, 0.001))
        except OSError as error:
            raise BrokenResponseError(f"receive: {error}")
        if not data:
            if self.head_complete and self.framing is Framing.CLOSE:
                self.complete = True
                return
            raise BrokenResponseError("the target closed the connection")
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BrokenResponseError("the target switched protocols")
        except httptools.HttpParserError as error:
            # Bytes after a complete response belong to no request.
            if not self.complete:
                raise BrokenResponseError(f"not HTTP: {error}")

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
        if self.head_complete:
            return
        status = self.parser.get_status_code()
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


def _receive(sock, timeout_s: float) -> bytes:
    """Return received bytes; empty only after an orderly close.

    eventlet's own ``recv`` also returns empty bytes after a reset, so a
    truncated response without a length would look complete.
    """
    while True:
        try:
            return sock.fd.recv(READ_BYTES)
        except BlockingIOError:
            hubs.trampoline(
                sock.fd,
                read=True,
                timeout=timeout_s,
                timeout_exc=TimeoutError("no data in time"),
            )
