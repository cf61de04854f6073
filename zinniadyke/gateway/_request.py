"""A caller's request, as read from its connection."""

import msgspec

from zinniadyke import errors

Headers = list[tuple[bytes, bytes]]


def find_header(headers: Headers, name: str) -> str:
    """Return the first value of a header; empty if absent."""
    wanted = name.encode()
    for key, value in headers:
        if key == wanted:
            return value.decode("latin-1")
    return ""


class CallerRequest(msgspec.Struct, kw_only=True):
    """A complete request; header names are lower case.

    Attributes
    ----------
    target
        Path and query, as sent.
    held_bytes
        Bytes that count for it in the memory account.
    arrived_at
        Monotonic time at which its first byte was read, in seconds.
    refusal
        Error to answer with, if the body was not read.
    keep_alive
        Whether the caller allows another request on the connection.
    """

    method: str
    target: bytes
    http_1_1: bool
    headers: Headers
    body: bytes
    keep_alive: bool
    arrived_at: float
    held_bytes: int = 0
    refusal: errors.RequestError | None = None

    def header(self, name: str) -> str:
        """Return the first value of a header; empty if absent."""
        return find_header(self.headers, name)

    def header_count(self, name: str) -> int:
        """Return how many times a header occurs."""
        wanted = name.encode()
        return sum(1 for key, _ in self.headers if key == wanted)

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class RejectedRequest(msgspec.Struct, kw_only=True):
    """An invalid request; the connection closes after its response."""

    status: int
    reason: str
