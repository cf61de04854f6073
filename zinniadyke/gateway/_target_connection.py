"""One request to a target on a connection of its own.

A kept connection could end under a request that may not be repeated, or
bring the late answer to another request. A new one costs one round trip and
the target some 1 ms.
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
# First status of final answers; those before are only interim.
MIN_FINAL_STATUS = 200
BODILESS = (204, 304)


class BrokenResponseError(Exception):
    """The target's answer ended early, or is none in the protocol."""


class NotConnectedError(Exception):
    """No connection came about, so nothing was sent."""


class Framing(enum.Enum):
    """How the end of an answer is marked."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"
    BODILESS = "bodiless"


class TargetConnection:
    """Sends one request and reads its answer.

    Attributes
    ----------
    status
        Status of the answer; 0 before it is known.
    sent
        Whether a byte of the request may have reached the target.
    """

    def __init__(self, *, address: str, method: str) -> None:
        """Prepare; :meth:`connect` opens the connection."""
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
            The target did not take it in time.
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
        """Send the whole request.

        Raises
        ------
        BrokenResponseError
            The connection broke; the target may have the request.
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
            No head came, or none in the protocol.
        """
        with eventlet.Timeout(
            max(timeout_s, 0.001), BrokenResponseError("no answer in time")
        ):
            while not self.head_complete:
                self._receive(timeout_s)

    def read_part(self, timeout_s: float) -> bytes:
        """Return the next part of the body; empty at its whole end.

        Raises
        ------
        BrokenResponseError
            The body ended early, or stayed silent for ``timeout_s``.
        """
        while not self.parts:
            if self.complete:
                return b""
            self._receive(timeout_s)
        return self.parts.popleft()

    def read_body(self, timeout_s: float) -> bytes:
        """Return the whole body.

        Raises
        ------
        BrokenResponseError
            The body did not come whole in time.
        """
        with eventlet.Timeout(
            max(timeout_s, 0.001), BrokenResponseError("no body in time")
        ):
            while not self.complete:
                self._receive(timeout_s)
        return b"".join(self.parts)

    def header(self, name: str) -> str:
        """Return the first value of a header; empty when absent."""
        return _request.find_header(self.headers, name)

    def close(self) -> None:
        """Close, which makes the target drop an unfinished request."""
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
            raise BrokenResponseError("the target changed the protocol")
        except httptools.HttpParserError as error:
            # What comes after a whole answer belongs to no request.
            if not self.complete:
                raise BrokenResponseError(f"not HTTP: {error}")

    def on_status(self, reason: bytes) -> None:
        """Take the reason phrase (called by the parser)."""
        if not self.head_complete:
            self.reason = reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header (called by the parser)."""
        if not self.head_complete:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note the end of the head (called by the parser)."""
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
        """Take a part of the body (called by the parser)."""
        if not self.complete:
            self.parts.append(body)

    def on_message_complete(self) -> None:
        """Note the whole end of an answer (called by the parser)."""
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
    """Return what came; nothing only at an orderly end.

    eventlet's own ``recv`` returns nothing for a connection that was reset
    too, and an answer without a length would look complete.
    """
    while True:
        try:
            return sock.fd.recv(READ_BYTES)
        except BlockingIOError:
            hubs.trampoline(
                sock.fd,
                read=True,
                timeout=timeout_s,
                timeout_exc=TimeoutError("silent"),
            )
