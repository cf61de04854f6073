"""Parses requests from the bytes of a caller's connection.

httptools parses strictly and rejects ambiguous framing, which two parsers
could read differently. eventlet's WSGI server is not used for callers because
it hides disconnects and accepts ambiguous framing.
"""

from collections.abc import Callable
import http
import time

import httptools

from zinniadyke import decimal_text
from zinniadyke import directory
from zinniadyke import errors
from zinniadyke.gateway import _memory_budget
from zinniadyke.gateway import _request

# Colon, space and CRLF of each header line.
HEADER_OVERHEAD_BYTES = 4
# Memory that a header field occupies beyond its bytes, as Python objects.
FIELD_MEMORY_BYTES = 200
# The same of a request.
REQUEST_MEMORY_BYTES = 1000
# Memory of a connection's first request that is not counted, beyond its body;
# most need less.
FREE_HEAD_BYTES = 8192
# Framing (chunk sizes, extensions, trailers) allowed beyond the limit of the
# header block, as a multiple of the body; a chunk of one byte has five more.
MAX_FRAMING_RATIO = 16
# Retry-After of a request whose body does not fit. Bodies are held for about
# as long as requests take.
OUT_OF_MEMORY_RETRY_S = 0.3


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

    def __init__(
        self,
        *,
        read_limits: Callable[[], directory.CallerLimits],
        memory: _memory_budget.MemoryBudget,
    ) -> None:
        """Start at the beginning of a connection.

        Parameters
        ----------
        read_limits
            Returns the limits in force, which hold for a request that begins.
        memory
            Account for heads and bodies; who consumes a request gives its
            ``held_bytes`` back.
        """
        self.read_limits = read_limits
        self.limits = read_limits()
        self.memory = memory
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
        if self.in_body:
            self.in_body_bytes += len(data)
        else:
            self.head_bytes += len(data)
        try:
            while data:
                data = self._feed(data)
        except httptools.HttpParserError as error:
            self._reject(http.HTTPStatus.BAD_REQUEST, str(error))
        if not self.in_body and self.head_bytes > self.limits.max_header_bytes:
            self._reject_headers()
        self._check_framing()

    def _feed(self, data: bytes) -> bytes:
        """Parse bytes; return those that the parser has left.

        httptools takes the body of a request that offers an upgrade for
        another protocol. The offer is ignored (RFC 9110, 7.8): a new parser
        gets the head without it, and the rest of the bytes.
        """
        try:
            self.parser.feed_data(data)
            return b""
        except httptools.HttpParserUpgrade as error:
            rest = data[error.args[0] :]
        if self.ended:
            return b""
        head = self._encode_head_without_offer()
        # The new parser counts the head again.
        self.memory.give_back(self.reserved_bytes)
        reading_since = self.reading_since
        self.parser = httptools.HttpRequestParser(self)
        self.parser.feed_data(head)
        if self.in_body:
            self.reading_since = reading_since
        return rest

    def _encode_head_without_offer(self) -> bytes:
        lines = [
            b"%b %b HTTP/%b"
            % (
                self.parser.get_method(),
                self.target,
                self.parser.get_http_version().encode(),
            )
        ]
        lines += [b"%b: %b" % h for h in self.headers if h[0] != b"upgrade"]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def on_message_begin(self) -> None:
        """Start a request (called by httptools)."""
        self._reset()
        self.limits = self.read_limits()
        self.reading_since = time.monotonic()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target (called by httptools)."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, but no trailer (called by httptools)."""
        if self.in_body or self.ended:
            return
        self.headers.append((name.lower(), value))
        self.head_memory_bytes += len(name) + len(value) + FIELD_MEMORY_BYTES
        self._reserve(0)

    def on_headers_complete(self) -> None:
        """Check the complete header block (called by httptools)."""
        self.in_body = True
        size = len(self.target) + sum(
            len(name) + len(value) + HEADER_OVERHEAD_BYTES
            for name, value in self.headers
        )
        if size > self.limits.max_header_bytes:
            self._reject_headers()
        self._check_supported()
        if not self.ended and not self.parser.should_upgrade():
            self._reserve(self._announced_bytes())
        for name, value in self.headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self.expects_continue = not self.ended

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (called by httptools)."""
        if self.ended:
            return
        self.expects_continue = False
        self.body_bytes += len(body)
        if not self._reserve(self.body_bytes):
            return
        self.body += body
        if self.body_bytes > self.limits.max_body_bytes:
            self._reject(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                "the body is too large",
            )

    def on_message_complete(self) -> None:
        """Queue the complete request (called by httptools)."""
        if self.ended or self.parser.should_upgrade():
            return
        self._append_request()
        self._reset()

    def time_out(self) -> None:
        """Reject the current request because it arrives too slowly."""
        self._reject(http.HTTPStatus.REQUEST_TIMEOUT, "the request is slow")

    def _append_request(
        self, refusal: errors.RequestError | None = None
    ) -> None:
        self.parsed.append(
            _request.CallerRequest(
                method=self.parser.get_method().decode("ascii"),
                target=self.target,
                http_1_1=self.parser.get_http_version() == "1.1",
                headers=self.headers,
                body=bytes(self.body),
                held_bytes=self.reserved_bytes,
                keep_alive=refusal is None and self.parser.should_keep_alive(),
                arrived_at=self.reading_since or time.monotonic(),
                refusal=refusal,
            )
        )

    def _check_supported(self) -> None:
        codings = {
            value.strip().lower()
            for name, value in self.headers
            if name == b"transfer-encoding"
        }
        if codings - {b"chunked"}:
            self._reject(
                http.HTTPStatus.NOT_IMPLEMENTED, "unknown transfer coding"
            )
        if self.parser.get_method() == b"CONNECT":
            self._reject(
                http.HTTPStatus.NOT_IMPLEMENTED, "CONNECT is not supported"
            )

    def _check_framing(self) -> None:
        """Reject a body whose framing has no end."""
        allowed = self.limits.max_header_bytes + (
            (1 + MAX_FRAMING_RATIO) * self.body_bytes
        )
        if self.in_body and self.in_body_bytes > allowed:
            self._reject(http.HTTPStatus.BAD_REQUEST, "too much framing")

    def _announced_bytes(self) -> int:
        """Return the length that the header states, if it is allowed."""
        text = _request.find_header(self.headers, "content-length")
        size = decimal_text.parse_count(text)
        if size is None or size > self.limits.max_body_bytes:
            return 0
        return size

    def _reserve(self, size: int) -> bool:
        """Count the head and a body; refuse the request if it does not fit."""
        free_bytes = 0 if self.parsed else FREE_HEAD_BYTES
        size += max(self.head_memory_bytes - free_bytes, 0)
        more = max(size - self.reserved_bytes, 0)
        if self.memory.take(more):
            self.reserved_bytes += more
            return True
        self.ended = True
        self.body = bytearray()
        self.memory.give_back(self.reserved_bytes)
        self.reserved_bytes = 0
        self._append_request(
            errors.RequestError(
                code=errors.ResultCode.OUT_OF_MEMORY,
                retry_after_s=OUT_OF_MEMORY_RETRY_S,
            )
        )
        return False

    def _reset(self) -> None:
        self.target = b""
        self.headers: _request.Headers = []
        self.body = bytearray()
        self.body_bytes = 0
        # Counted in the memory account.
        self.reserved_bytes = 0
        self.head_bytes = 0
        self.head_memory_bytes = REQUEST_MEMORY_BYTES
        # Bytes that arrived after the header block.
        self.in_body_bytes = 0
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
