"""Parses requests from the bytes of a caller's connection.

httptools parses strictly and rejects ambiguous framing, which two parsers
could read differently. eventlet's WSGI server is not used for callers because
it hides disconnects and accepts ambiguous framing.
"""

import http
import time

import httptools

from zinniadyke import directory
from zinniadyke.gateway import _request

# Colon, space and CRLF of each header line.
HEADER_OVERHEAD_BYTES = 4


class RequestParser:
    """Parses the bytes of one connection into requests.

    Attributes
    ----------
    parsed
        Requests that are not consumed yet; a rejected one is the last.
    reading_since
        Monotonic time of the first byte of the current request; None
        between requests.
    expects_continue
        Whether the caller waits for ``100 Continue`` before sending a body.
    in_body
        Whether the header block of the current request is complete.
    ended
        Whether no further bytes of the connection are parsed.
    """

    def __init__(self, *, limits: directory.CallerLimits) -> None:
        """Start at the beginning of a connection."""
        self.limits = limits
        self.parser = httptools.HttpRequestParser(self)
        self.parsed: list[
            _request.CallerRequest | _request.RejectedRequest
        ] = []
        self.reading_since: float | None = None
        self.expects_continue = False
        self.in_body = False
        self.head_bytes = 0
        self.ended = False
        self._reset()

    def feed(self, data: bytes) -> None:
        """Parse more bytes."""
        if self.ended:
            return
        if self.reading_since is None:
            self.reading_since = time.monotonic()
        if not self.in_body:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is complete; bytes of another protocol after it are
            # not parsed.
            self.ended = True
        except httptools.HttpParserError as error:
            self._reject(http.HTTPStatus.BAD_REQUEST, str(error))
        if not self.in_body and self.head_bytes > self.limits.max_header_bytes:
            self._reject_headers()

    def on_message_begin(self) -> None:
        """Start a request (called by httptools)."""
        self._reset()
        self.reading_since = time.monotonic()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target (called by httptools)."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header (called by httptools)."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the complete header block (called by httptools)."""
        self.in_body = True
        size = len(self.target) + sum(
            len(name) + len(value) + HEADER_OVERHEAD_BYTES
            for name, value in self.headers
        )
        if size > self.limits.max_header_bytes:
            self._reject_headers()
        for name, value in self.headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self.expects_continue = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (called by httptools)."""
        if self.ended:
            return
        self.expects_continue = False
        self.body.append(body)
        self.body_bytes += len(body)
        if self.body_bytes > self.limits.max_body_bytes:
            self._reject(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                "the body is too large",
            )

    def on_message_complete(self) -> None:
        """Queue the complete request (called by httptools)."""
        if self.ended:
            return
        self.parsed.append(
            _request.CallerRequest(
                method=self.parser.get_method().decode("ascii"),
                target=self.target,
                http_1_1=self.parser.get_http_version() == "1.1",
                headers=self.headers,
                body=b"".join(self.body),
                keep_alive=self.parser.should_keep_alive(),
                arrived_at=self.reading_since or time.monotonic(),
            )
        )
        self._reset()

    def time_out(self) -> None:
        """Reject the current request because it arrives too slowly."""
        self._reject(http.HTTPStatus.REQUEST_TIMEOUT, "the request is slow")

    def _reset(self) -> None:
        self.target = b""
        self.headers: _request.Headers = []
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.head_bytes = 0
        self.in_body = False
        self.expects_continue = False
        self.reading_since = None

    def _reject_headers(self) -> None:
        self._reject(
            http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            "the header block is too large",
        )

    def _reject(self, status: http.HTTPStatus, reason: str) -> None:
        if not self.ended:
            self.ended = True
            self.parsed.append(
                _request.RejectedRequest(status=int(status), reason=reason)
            )
