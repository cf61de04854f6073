"""Stand-ins of a model server's control side, and of its origin."""

import hashlib
from urllib import parse

import eventlet
import msgspec

from zinniadyke.fakes import _http

CHUNK_BYTES = 1024
ROTTEN = b"rotten"


def expected_piece(version: int, index: int) -> bytes:
    """Return the right bytes of a piece."""
    seed = hashlib.sha256(f"{version}/{index}".encode()).digest()
    return seed * (CHUNK_BYTES // len(seed))


class FakeModelServer:
    """Takes staged pieces and orders, as the users' model servers do.

    Attributes
    ----------
    version
        Version that is loaded; 0 for none.
    staged
        Pieces that lie here, by index.
    loads
        Staged pieces as they were when each order was accepted.
    rot
        Pieces that turn bad once, right after they were laid down.
    lose_answers
        Orders that are carried out but not answered.
    """

    def __init__(
        self, *, model: str, pieces: int, version: int, address: str
    ) -> None:
        """Start with whole weights of ``version``, or with none."""
        self.model = model
        self.pieces = pieces
        self.version = version
        self.staged = {}
        if version:
            self.staged = {
                n: expected_piece(version, n) for n in range(pieces)
            }
        self.orders = 0
        self.busy = False
        self.lose_answers = 0
        self.rot: set[int] = set()
        self.load_s = 0.05
        self.loads: list[tuple[int, dict[int, bytes]]] = []
        self.server = _http.HttpServer(application=self, address=address)
        self.address = self.server.address

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop()

    def __call__(self, environ, start_response):
        """Serve one call."""
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
            if index in self.rot:
                self.rot.discard(index)
                piece = ROTTEN
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
            "seq": self.orders,
            "waiting": 0,
            "running": 0,
        }

    def _order(self, order: dict, start_response):
        if self.busy or order.get("expected", self.orders) != self.orders:
            return _http.answer(start_response, "409 Conflict")
        self.orders += 1
        self.busy = True
        self.loads.append((order["version"], dict(self.staged)))
        eventlet.spawn_n(self._load, order["version"])
        if self.lose_answers:
            self.lose_answers -= 1
            _http.abort()
        return _http.answer(start_response, "202 Accepted")

    def _load(self, version: int) -> None:
        self.version = 0
        eventlet.sleep(self.load_s)
        self.version = version
        self.busy = False


class FakeWeightsOrigin:
    """Serves digests and pieces of all versions.

    Attributes
    ----------
    reads
        Pieces that were read.
    manifests
        Lists of digests that were read.
    spoil
        Pieces that are sent spoilt once, as pairs of version and index.
    spoil_manifests
        Versions whose digests are sent with a wrong one, once.
    """

    def __init__(self, *, pieces: int, address: str = "127.0.0.1:0") -> None:
        """Listen."""
        self.pieces = pieces
        self.reads = 0
        self.manifests = 0
        self.spoil_manifests: set[int] = set()
        self.spoil: set[tuple[int, int]] = set()
        self.server = _http.HttpServer(application=self, address=address)
        self.address = self.server.address

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop()

    def __call__(self, environ, start_response):
        """Serve one call."""
        query = parse.parse_qs(environ.get("QUERY_STRING", ""))
        version = int(query["version"][0])
        if environ["PATH_INFO"].startswith("/v1/manifest/"):
            digests = [
                hashlib.sha256(expected_piece(version, n)).hexdigest()
                for n in range(self.pieces)
            ]
            self.manifests += 1
            if version in self.spoil_manifests:
                self.spoil_manifests.discard(version)
                digests[0] = digests[1]
            return _http.answer_json(
                start_response,
                {"model": "m", "version": version, "digests": digests},
            )
        index = int(query["item_count"][0])
        self.reads += 1
        piece = expected_piece(version, index)
        if (version, index) in self.spoil:
            self.spoil.discard((version, index))
            piece = b"x" + piece[1:]
        return _http.answer(start_response, "200 OK", piece)
