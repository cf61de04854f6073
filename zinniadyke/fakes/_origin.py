"""Fake of the weights origin that agents read, with HTTP range reads."""

import random

import eventlet

from zinniadyke.fakes import _faults
from zinniadyke.fakes import _http


class FakeOrigin:
    """Serves blobs with entity tags, ``If-Match`` and byte ranges.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.
    bytes_per_s
        Bandwidth of the origin's link, in bytes per second; 0 for unlimited.
    """

    def __init__(
        self, *, address: str = "127.0.0.1:0", bytes_per_s: float = 0
    ) -> None:
        """Start without blobs."""
        self.faults = _faults.OriginFaults()
        self.blobs: dict[str, bytes] = {}
        self.revisions: dict[str, int] = {}
        self.bytes_sent: dict[str, int] = {}
        self.reads = 0
        self.bytes_per_s = bytes_per_s
        self.link_free_at = 0.0
        self.server = _http.HttpServer(application=self, address=address)
        self.url = self.server.url

    def put(self, name: str, blob: bytes) -> None:
        """Store a blob under a new revision."""
        self.blobs[name] = blob
        self.revisions[name] = self.revisions.get(name, 0) + 1
        self.bytes_sent.setdefault(name, 0)

    def stop(self) -> None:
        """Stop the server."""
        self.server.stop()

    def __call__(self, environ, start_response):
        """Serve one read request."""
        if self.faults.latency_s:
            eventlet.sleep(self.faults.latency_s)
        if self.faults.down:
            return _http.answer(start_response, "503 Service Unavailable")
        name = environ["PATH_INFO"].strip("/")
        if name not in self.blobs:
            return _http.answer(start_response, "404 Not Found")
        self.reads += 1
        if self.reads == self.faults.change_after_reads:
            self.put(name, self.blobs[name][::-1])
        tag = f'"{self.revisions[name]}"'
        if environ.get("HTTP_IF_MATCH", tag) != tag:
            return _http.answer(start_response, "412 Precondition Failed")
        blob = self.blobs[name]
        start, end = _requested_range(environ, len(blob))
        body = self._apply_corruption(blob[start:end])
        self.bytes_sent[name] += len(body)
        self._wait_for_link(len(body))
        return _http.answer(
            start_response,
            "206 Partial Content",
            body,
            [("ETag", tag), ("Content-Range", f"bytes {start}-{end - 1}")],
        )

    def _wait_for_link(self, size: int) -> None:
        if not self.bytes_per_s:
            return
        now = eventlet.hubs.get_hub().clock()
        send_at = max(now, self.link_free_at)
        self.link_free_at = send_at + size / self.bytes_per_s
        eventlet.sleep(self.link_free_at - now)

    def _apply_corruption(self, body: bytes) -> bytes:
        if self.faults.corrupt_reads <= 0 or not body:
            return body
        self.faults.corrupt_reads -= 1
        offset = random.randrange(len(body))
        flipped = bytes([body[offset] ^ 1])
        return body[:offset] + flipped + body[offset + 1 :]


def _requested_range(environ, size: int) -> tuple[int, int]:
    header = environ.get("HTTP_RANGE")
    if not header:
        return 0, size
    first, _, last = header.removeprefix("bytes=").partition("-")
    return int(first), min(size, int(last) + 1)
