"""Stand-in of the origin: pinned, ranged reads of weights by HTTP."""

import random

import eventlet

from zinniadyke.fakes import _faults
from zinniadyke.fakes import _http


class FakeOrigin:
    """Serves blobs with entity tags and ranges.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.
    bytes_per_s
        Rate of the origin's link; 0 for unlimited.
    """

    def __init__(
        self, *, address: str = "127.0.0.1:0", bytes_per_s: float = 0
    ) -> None:
        """Start with no blobs."""
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
        """Stop serving."""
        self.server.stop()

    def __call__(self, environ, start_response):
        """Serve one read."""
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
        start, end = _range(environ, len(blob))
        body = self._spoil(blob[start:end])
        self.bytes_sent[name] += len(body)
        self._pace(len(body))
        return _http.answer(
            start_response,
            "206 Partial Content",
            body,
            [("ETag", tag), ("Content-Range", f"bytes {start}-{end - 1}")],
        )

    def _pace(self, size: int) -> None:
        if not self.bytes_per_s:
            return
        now = eventlet.hubs.get_hub().clock()
        begin = max(now, self.link_free_at)
        self.link_free_at = begin + size / self.bytes_per_s
        eventlet.sleep(self.link_free_at - now)

    def _spoil(self, body: bytes) -> bytes:
        if self.faults.corrupt_reads <= 0 or not body:
            return body
        self.faults.corrupt_reads -= 1
        place = random.randrange(len(body))
        flipped = bytes([body[place] ^ 1])
        return body[:place] + flipped + body[place + 1 :]


def _range(environ, size: int) -> tuple[int, int]:
    header = environ.get("HTTP_RANGE")
    if not header:
        return 0, size
    first, _, last = header.removeprefix("bytes=").partition("-")
    return int(first), min(size, int(last) + 1)
