"""Passes pieces and manifests on to other agents, over HTTP.

HTTP by eventlet's WSGI server takes the place of pyzmq here: a process does
without the 10 MB that the library takes, and a transfer has a connection of
its own, so that one slow peer holds up no other.
"""

import http
import logging
import time
from urllib import parse

import eventlet
from eventlet import semaphore
from eventlet import wsgi
import msgspec

from zinniadyke import errors
from zinniadyke import listening
from zinniadyke import pacing
from zinniadyke import platform
from zinniadyke.sidecar import _pieces

LOG = logging.getLogger(__name__)
QUIET = logging.getLogger("zinniadyke.sidecar.wsgi")
QUIET.propagate = False
QUIET.addHandler(logging.NullHandler())

PIECE_PATH = "/piece"
MANIFEST_PATH = "/manifest"
# Longest time that a peer may wait for a piece that is on its way.
MAX_WAIT_S = 1.0
# Pieces that are sent at once.
UPLOADS_AT_ONCE = 4
# Pieces leave in parts of this size, so that the events of streams wait for
# no more than that in the host's link.
PART_BYTES = 4096


class PeerServer:
    """Serves what this agent has.

    Attributes
    ----------
    store
        The version that is being, or was last, brought; None at the start.
    """

    def __init__(
        self,
        *,
        address: str,
        target: platform.ModelServerClient,
        bytes_per_s: float,
    ) -> None:
        """Bind the socket."""
        self.bucket = pacing.TokenBucket(
            bytes_per_s=bytes_per_s, burst_bytes=PART_BYTES
        )
        self.target = target
        self.store: _pieces.PieceStore | None = None
        self.uploads = semaphore.Semaphore(UPLOADS_AT_ONCE)
        self.asked_at = float("-inf")
        self.sent_bytes = 0
        self.socket = listening.listen(address)

    def run(self) -> None:
        """Serve for ever."""
        wsgi.server(
            self.socket, self, log=QUIET, log_output=False, debug=False
        )

    def __call__(self, environ, start_response):
        """Answer one call."""
        query = parse.parse_qs(environ["QUERY_STRING"])
        try:
            model = query["model"][0]
            version = int(query["version"][0])
            if environ["PATH_INFO"] == MANIFEST_PATH:
                return self._manifest(model, version, start_response)
            index = int(query["index"][0])
            wait_s = float(query.get("wait", ["0"])[0])
        except (KeyError, ValueError) as error:
            return _answer(
                start_response, http.HTTPStatus.BAD_REQUEST, str(error)
            )
        self.asked_at = time.monotonic()
        piece = self._find(model, version, index, min(wait_s, MAX_WAIT_S))
        if piece is None:
            return _answer(start_response, http.HTTPStatus.NOT_FOUND)
        return self._send(piece, start_response)

    def _send(self, piece: bytes, start_response):
        with self.uploads:
            write = start_response(
                "200 OK", [("Content-Length", str(len(piece)))]
            )
            view = memoryview(piece)
            for start in range(0, len(piece), PART_BYTES):
                part = view[start : start + PART_BYTES]
                self.bucket.take(len(part))
                write(bytes(part))
            self.sent_bytes += len(piece)
        return []

    def _manifest(self, model: str, version: int, start_response):
        store = self.store
        if store is None or (store.model, store.version) != (model, version):
            return _answer(start_response, http.HTTPStatus.NOT_FOUND)
        return _answer(
            start_response,
            http.HTTPStatus.OK,
            msgspec.json.encode(store.digests),
        )

    def _find(
        self, model: str, version: int, index: int, wait_s: float
    ) -> bytes | None:
        end = time.monotonic() + wait_s
        while True:
            store = self.store
            known = store is not None and (
                (store.model, store.version) == (model, version)
            )
            if known and index in store.pieces:
                return store.pieces[index]
            left_s = end - time.monotonic()
            if left_s <= 0:
                break
            if known:
                store.changed.wait(left_s)
            else:
                eventlet.sleep(min(left_s, 0.05))
        return self._staged(model, index, known)

    def _staged(self, model: str, index: int, known: bool) -> bytes | None:
        """Return what lies at the target; the asker checks it."""
        try:
            piece = self.target.read_piece(model, index)
        except errors.EngineError as error:
            LOG.warning("piece not read", extra={"reason": error.message})
            return None
        if known and not self.store.matches(index, piece):
            return None
        return piece


def _answer(start_response, status: http.HTTPStatus, body: bytes | str = b""):
    if isinstance(body, str):
        body = body.encode()
    start_response(
        f"{status.value} {status.phrase}",
        [("Content-Length", str(len(body)))],
    )
    return [body]
