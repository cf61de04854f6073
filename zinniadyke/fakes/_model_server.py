"""Fakes of the model server and the weights origin that a sidecar uses.

The query parameter ``item_count`` of both APIs is the index of a piece.
"""

import hashlib
from urllib import parse

import eventlet
import msgspec

from zinniadyke.fakes import _http

PIECE_BYTES = 1024
CORRUPT_PIECE = b"rotten"


def expected_piece(version: int, index: int) -> bytes:
    """Return the correct bytes of a piece."""
    seed = hashlib.sha256(f"{version}/{index}".encode()).digest()
    return seed * (PIECE_BYTES // len(seed))


class FakeModelServer:
    """Accepts staged pieces and load orders like a user's model server.

    Attributes
    ----------
    version
        Loaded version; 0 for none.
    staged
        Staged pieces by index.
    accepted_orders
        Version and staged pieces at the time each order was accepted.
    corrupt_on_staging
        Indices of pieces that are corrupted the next time they are staged.
    lose_answers
        Number of orders to execute without a response.
    """

    def __init__(
        self, *, model: str, pieces: int, version: int, address: str
    ) -> None:
        """Start with all pieces of ``version``; 0 starts without weights."""
        self.model = model
        self.pieces = pieces
        self.version = version
        self.staged = {}
        if version:
            self.staged = {
                n: expected_piece(version, n) for n in range(pieces)
            }
        self.order_count = 0
        self.busy = False
        self.lose_answers = 0
        self.corrupt_on_staging: set[int] = set()
        self.load_s = 0.05
        self.accepted_orders: list[tuple[int, dict[int, bytes]]] = []
        self.server = _http.HttpServer(application=self, address=address)
        self.address = self.server.address

    def stop(self) -> None:
        """Stop the server."""
        self.server.stop()

    def __call__(self, environ, start_response):
        """Serve one request."""
        path = environ["PATH_INFO"]
        query = parse.parse_qs(environ.get("QUERY_STRING", ""))
        if path == "/v1/report":
            return _http.answer_json(start_response, self._report())
        if path == "/v1/order":
            order = msgspec.json.decode(_http.read_body(environ))
            return self._order(order, start_response)
        if "item_count" not in query:
            return _http.answer_json(
                start_response, {"held": sorted(self.staged)}
            )
        index = int(query["item_count"][0])
        if environ["REQUEST_METHOD"] == "PUT":
            piece = _http.read_body(environ)
            if index in self.corrupt_on_staging:
                self.corrupt_on_staging.discard(index)
                piece = CORRUPT_PIECE
            self.staged[index] = piece
            return _http.answer(start_response, "200 OK")
        if index not in self.staged:
            return _http.answer(start_response, "404 Not Found")
        return _http.answer(start_response, "200 OK", self.staged[index])

    def _report(self) -> dict:
        models = []
        if self.version:
            models = [{"name": self.model, "version": self.version}]
        return {
            "models": models,
            "busy": self.busy,
            "seq": self.order_count,
            "waiting": 0,
            "running": 0,
        }

    def _order(self, order: dict, start_response):
        if (
            self.busy
            or order.get("expected", self.order_count) != self.order_count
        ):
            return _http.answer(start_response, "409 Conflict")
        self.order_count += 1
        self.busy = True
        self.accepted_orders.append((order["version"], dict(self.staged)))
        eventlet.spawn_n(self._load, order["version"])
        if self.lose_answers:
            self.lose_answers -= 1
            _http.abort_connection()
        return _http.answer(start_response, "202 Accepted")

    def _load(self, version: int) -> None:
        self.version = 0
        eventlet.sleep(self.load_s)
        self.version = version
        self.busy = False


class FakeWeightsOrigin:
    """Serves manifests and pieces of all versions.

    Attributes
    ----------
    reads
        Number of piece reads.
    manifest_reads
        Number of manifest reads.
    corrupt_on_read
        Version and index of pieces that are corrupted on their next read.
    corrupt_manifest_versions
        Versions whose next manifest contains a wrong digest.
    short_manifest_versions
        Versions whose next manifest lacks its last digest.
    piece_delay_s
        Time that each read of a piece takes, in seconds.
    """

    def __init__(self, *, pieces: int, address: str = "127.0.0.1:0") -> None:
        """Start listening."""
        self.pieces = pieces
        self.piece_delay_s = 0.0
        self.reads = 0
        self.manifest_reads = 0
        self.corrupt_manifest_versions: set[int] = set()
        self.short_manifest_versions: set[int] = set()
        self.corrupt_on_read: set[tuple[int, int]] = set()
        self.server = _http.HttpServer(application=self, address=address)
        self.address = self.server.address

    def stop(self) -> None:
        """Stop the server."""
        self.server.stop()

    def __call__(self, environ, start_response):
        """Serve one request."""
        query = parse.parse_qs(environ.get("QUERY_STRING", ""))
        version = int(query["version"][0])
        if environ["PATH_INFO"].startswith("/v1/manifest/"):
            digests = [
                hashlib.sha256(expected_piece(version, n)).hexdigest()
                for n in range(self.pieces)
            ]
            self.manifest_reads += 1
            if version in self.corrupt_manifest_versions:
                self.corrupt_manifest_versions.discard(version)
                digests[0] = digests[1]
            if version in self.short_manifest_versions:
                self.short_manifest_versions.discard(version)
                del digests[-1]
            return _http.answer_json(
                start_response,
                {"model": "m", "version": version, "digests": digests},
            )
        index = int(query["item_count"][0])
        self.reads += 1
        eventlet.sleep(self.piece_delay_s)
        piece = expected_piece(version, index)
        if (version, index) in self.corrupt_on_read:
            self.corrupt_on_read.discard((version, index))
            piece = b"x" + piece[1:]
        return _http.answer(start_response, "200 OK", piece)
