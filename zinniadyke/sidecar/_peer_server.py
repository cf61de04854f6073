"""Serves pieces to other agents over HTTP.

Eventlet's WSGI server is used instead of pyzmq, which adds 10 MB to each
process. Each transfer has its own connection, so a slow peer does not block
others.
"""

from collections.abc import Callable
import http
import logging
import re
import time
from urllib import parse

from eventlet import semaphore
from eventlet import wsgi
import msgspec

from zinniadyke import errors
from zinniadyke import listening
from zinniadyke import pacing
from zinniadyke import platform
from zinniadyke.sidecar import _pieces

LOG = logging.getLogger(__name__)
WSGI_LOG = logging.getLogger("zinniadyke.sidecar.wsgi")
WSGI_LOG.propagate = False
WSGI_LOG.addHandler(logging.NullHandler())

PIECE_PATH = "/piece"
MANIFEST_PATH = "/manifest"
# Pieces read back from the target are cached for this time, because a piece
# is requested in several ranges.
READ_BACK_TTL_S = 1.0
# A few peers request pieces at the same time.
MAX_READ_BACK_PIECES = 16
# The form of the Range header that agents send.
RANGE_PATTERN = re.compile(r"bytes=(\d+)-(\d+)", re.ASCII)
MAX_CONCURRENT_UPLOADS = 6
# The version that the target is to load and the one after it.
MAX_STORES = 2
# Larger parts would delay the events of streams in the host's link.
PART_BYTES = 4096


class PeerServer:
    """Serves the pieces and digests that this agent has.

    Attributes
    ----------
    stores
        Stores of the versions being fetched or fetched last, oldest first.
    holds_version
        Returns whether the target holds a version of a model.
    piece_count
        Returns the number of pieces of a version.
    read_back_cache
        Monotonic time of the read and bytes of pieces read back from the
        target, by model and index.
    last_request_at
        Monotonic time of the last request of a peer.
    """

    def __init__(
        self,
        *,
        address: str,
        target: platform.ModelServerClient,
        bucket: pacing.TokenBucket,
    ) -> None:
        """Bind the socket."""
        self.bucket = bucket
        self.target = target
        self.holds_version: Callable[[str, int], bool] = (
            lambda model, version: False
        )
        self.piece_count: Callable[[], int] = lambda: 0
        self.stores: list[_pieces.PieceStore] = []
        self.uploads = semaphore.Semaphore(MAX_CONCURRENT_UPLOADS)
        self.read_back_cache: dict[
            tuple[str, int], tuple[float, bytes | None]
        ] = {}
        self.last_request_at = float("-inf")
        self.sent_bytes = 0
        self.socket = listening.listen(address)

    def find_store(
        self, model: str, version: int
    ) -> _pieces.PieceStore | None:
        """Return the store of a version; None if there is none."""
        for store in self.stores:
            if (store.model, store.version) == (model, version):
                return store
        return None

    def add_store(self, store: _pieces.PieceStore) -> None:
        """Start to serve a version; drop the oldest above the limit."""
        if self.stores:
            store.reuse_pieces(self.stores[-1])
        self.stores = [*self.stores, store][-MAX_STORES:]

    def drop_store(self, store: _pieces.PieceStore) -> None:
        """Stop serving a version."""
        self.stores = [s for s in self.stores if s is not store]

    def run(self) -> None:
        """Serve requests forever."""
        wsgi.server(
            self.socket, self, log=WSGI_LOG, log_output=False, debug=False
        )

    def __call__(self, environ, start_response):
        """Handle one WSGI request."""
        query = parse.parse_qs(environ.get("QUERY_STRING", ""))
        try:
            model = query["model"][0]
            version = int(query["version"][0])
            self.last_request_at = time.monotonic()
            if environ["PATH_INFO"] == MANIFEST_PATH:
                return self._send_digests(model, version, start_response)
            index = int(query["index"][0])
        except (KeyError, ValueError) as error:
            return _respond(
                start_response, http.HTTPStatus.BAD_REQUEST, str(error)
            )
        piece = self._find_piece(model, version, index)
        if piece is None:
            return _respond(start_response, http.HTTPStatus.NOT_FOUND)
        requested_range = RANGE_PATTERN.fullmatch(
            environ.get("HTTP_RANGE", "")
        )
        if requested_range is None:
            return self._send(start_response, http.HTTPStatus.OK, piece)
        first, last = int(requested_range[1]), int(requested_range[2])
        return self._send(
            start_response,
            http.HTTPStatus.PARTIAL_CONTENT,
            piece[first : last + 1],
        )

    def _send_digests(self, model: str, version: int, start_response):
        store = self.find_store(model, version)
        if store is None:
            return _respond(start_response, http.HTTPStatus.NOT_FOUND)
        return _respond(
            start_response,
            http.HTTPStatus.OK,
            msgspec.json.encode(store.digests),
        )

    def _send(self, start_response, status: http.HTTPStatus, data: bytes):
        with self.uploads:
            write = start_response(
                f"{status.value} {status.phrase}",
                [("Content-Length", str(len(data)))],
            )
            view = memoryview(data)
            for start in range(0, len(data), PART_BYTES):
                part = view[start : start + PART_BYTES]
                self.bucket.take(len(part))
                write(bytes(part))
            self.sent_bytes += len(data)
        return []

    def held(self, model: str, version: int) -> set[int]:
        """Return the indexes of a version's pieces that can be served."""
        if self.holds_version(model, version):
            # The target has all pieces, even those released from memory.
            return set(range(self.piece_count()))
        store = self.find_store(model, version)
        return set(store.pieces) if store else set()

    def _find_piece(
        self, model: str, version: int, index: int
    ) -> bytes | None:
        store = self.find_store(model, version)
        if store is not None and index in store.pieces:
            return store.pieces[index]
        return self._read_staged(model, index, store)

    def _read_staged(self, model: str, index: int, store) -> bytes | None:
        """Return a piece staged at the target; None if absent or wrong.

        Without a store the piece is not checked here; the requester checks
        its digest.
        """
        read_at, piece = self.read_back_cache.get((model, index), (0.0, None))
        if piece is None or time.monotonic() - read_at > READ_BACK_TTL_S:
            try:
                piece = self.target.read_piece(model, index)
            except errors.EngineError as error:
                LOG.warning(
                    "cannot read piece from target",
                    extra={"reason": error.message},
                )
                return None
            self._cache_read_back(model, index, piece)
        if store is not None and not store.matches(index, piece):
            return None
        return piece

    def _cache_read_back(
        self, model: str, index: int, piece: bytes | None
    ) -> None:
        """Cache a piece for requests of its other ranges."""
        if piece is None:
            return
        self.read_back_cache[model, index] = (time.monotonic(), piece)
        while len(self.read_back_cache) > MAX_READ_BACK_PIECES:
            del self.read_back_cache[next(iter(self.read_back_cache))]


def _respond(start_response, status: http.HTTPStatus, body: bytes | str = b""):
    if isinstance(body, str):
        body = body.encode()
    start_response(
        f"{status.value} {status.phrase}",
        [("Content-Length", str(len(body)))],
    )
    return [body]
