"""Calls to the model server beside an agent, and to the origin."""

import http
import re

import msgspec
import urllib3

from zinniadyke import errors
from zinniadyke import ids
from zinniadyke.platform import _decode_target

# The server beside answers its own host at once.
LOCAL_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 2.0
# A piece of 32 KiB takes some 70 ms on a host's link; several share it.
ORIGIN_TIMEOUT_S = 3.0
# Opening packets wait in a link that is full.
CONNECT_TIMEOUT_S = 1.5
LOCAL_CONNECTIONS = 2
# SHA-256, in hexadecimal.
DIGEST = re.compile("[0-9a-f]{64}", re.IGNORECASE)


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a model server says of itself.

    Attributes
    ----------
    orders_begun
        Orders that it has begun since its start.
    order_in_progress
        Whether an order is in progress.
    born_ms
        Unix time of its start in milliseconds; 0 when not told.
    """

    running: int
    waiting: int
    orders_begun: int
    order_in_progress: bool
    born_ms: int
    weights: dict[ids.ModelName, ids.WeightsVersion]


class _Report(msgspec.Struct):
    # `seq` counts accepted orders; `busy` tells whether one is in progress.
    models: list[_decode_target.HeldModel] = []
    layers: _decode_target.HeldLayers | None = None
    busy: bool = False
    seq: int = 0
    waiting: int = 0
    running: int = 0
    born: int = 0


class _Held(msgspec.Struct):
    held: list[int]


class _Order(msgspec.Struct, kw_only=True, omit_defaults=True):
    # `expected` is the number of orders that must have begun before.
    operation: str
    model: str
    version: int
    switch_mode: str
    expected: int | None = None


class _Manifest(msgspec.Struct):
    model: str
    version: int
    digests: list[str]
    chunk_bytes: int = 0


class ManifestAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The digests of a version's pieces, SHA-256 in hex, in order."""

    version: ids.WeightsVersion
    digests: tuple[str, ...]


class ModelServerClient:
    """Calls the model server on this host.

    Parameters
    ----------
    address
        ``ip:port`` of the server.
    """

    def __init__(self, *, address: str) -> None:
        """Create the connection pool; connects on first use."""
        self.pool = _pool(address, LOCAL_CONNECTIONS)

    def report(self, layer_count: int) -> EngineReport:
        """Return the server's state.

        Raises
        ------
        EngineError
            It did not answer.
        """
        answer = self._call("GET", "/v1/report")
        try:
            found = msgspec.json.decode(answer.data, type=_Report)
        except msgspec.MsgspecError as error:
            raise errors.EngineError(f"report: {error}")
        return EngineReport(
            running=found.running,
            waiting=found.waiting,
            orders_begun=found.seq,
            order_in_progress=found.busy,
            born_ms=found.born,
            weights=_decode_target.whole_versions(
                found.models, found.layers, layer_count
            ),
        )

    def staged_pieces(self, model: str) -> set[int]:
        """Return which pieces lie at the server, of whatever version."""
        try:
            answer = self._call("GET", f"/v1/stage-get/{model}")
            return set(msgspec.json.decode(answer.data, type=_Held).held)
        except (errors.EngineError, msgspec.MsgspecError) as error:
            raise errors.EngineError(f"staged pieces: {error}")

    def read_piece(self, model: str, index: int) -> bytes | None:
        """Return a staged piece, which may be spoilt; None if absent."""
        answer = self._call(
            "GET",
            f"/v1/stage-get/{model}?item_count={index}",
            allowed=(http.HTTPStatus.OK, http.HTTPStatus.NOT_FOUND),
        )
        return answer.data if answer.status == http.HTTPStatus.OK else None

    def stage_piece(self, model: str, index: int, piece: bytes) -> None:
        """Lay a piece down at the server."""
        self._call(
            "PUT", f"/v1/stage-put/{model}?item_count={index}", body=piece
        )

    def load(
        self,
        model: str,
        version: int,
        *,
        orders_begun: int,
        cancel_running: bool,
    ) -> bool:
        """Order the server to load what is staged.

        Parameters
        ----------
        orders_begun
            Orders that must have begun before; else it refuses.
        cancel_running
            Whether requests that run are cut off, not waited for.

        Returns
        -------
        bool
            Whether the order has begun or is in effect.

        Raises
        ------
        EngineError
            No answer; the order may have been accepted.
        """
        order = _Order(
            operation="start",
            model=model,
            version=version,
            switch_mode="truncate" if cancel_running else "wait",
            expected=orders_begun,
        )
        answer = self._call(
            "POST",
            "/v1/order",
            body=msgspec.json.encode(order),
            headers={"Content-Type": "application/json"},
            timeout_s=ORDER_TIMEOUT_S,
            allowed=(
                http.HTTPStatus.OK,
                http.HTTPStatus.ACCEPTED,
                http.HTTPStatus.CONFLICT,
                http.HTTPStatus.PRECONDITION_FAILED,
            ),
        )
        return answer.status in (http.HTTPStatus.OK, http.HTTPStatus.ACCEPTED)

    def _call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = LOCAL_TIMEOUT_S,
        allowed: tuple = (
            http.HTTPStatus.OK,
            http.HTTPStatus.CREATED,
            http.HTTPStatus.NO_CONTENT,
        ),
    ) -> urllib3.BaseHTTPResponse:
        try:
            answer = self.pool.request(
                method,
                path,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=timeout_s
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            raise errors.EngineError(f"{method} {path}: {error}")
        if answer.status not in allowed:
            raise errors.EngineError(f"{method} {path}: {answer.status}")
        return answer


class OriginClient:
    """Reads manifests and pieces from the origin of weights.

    Parameters
    ----------
    address
        ``ip:port`` of the origin.
    connections
        Connections that are kept.
    """

    def __init__(self, *, address: str, connections: int) -> None:
        """Create the connection pool; connects on first use."""
        self.address = address
        self.connections = connections
        self.pool = _pool(address, connections)

    def manifest(self, model: str, version: int) -> ManifestAnswer:
        """Return the digests of a version's pieces.

        Raises
        ------
        WeightsError
            The origin did not answer with them.
        """
        data = self._get(f"/v1/manifest/{model}?version={version}")
        try:
            found = msgspec.json.decode(data, type=_Manifest)
        except msgspec.MsgspecError as error:
            raise errors.WeightsError(
                f"manifest: {error}", code=errors.ResultCode.ORIGIN_UNAVAILABLE
            )
        if found.version != version or not found.digests:
            raise errors.WeightsError(
                f"manifest of version {found.version}",
                code=errors.ResultCode.ORIGIN_CHANGED,
            )
        if not all(DIGEST.fullmatch(d) for d in found.digests):
            raise errors.WeightsError(
                "manifest with digests that are none",
                code=errors.ResultCode.CHUNK_CORRUPT,
            )
        return ManifestAnswer(
            version=ids.WeightsVersion(found.version),
            digests=tuple(found.digests),
        )

    def close_idle(self) -> None:
        """Close the connections that are kept: the origin takes few."""
        self.pool.close()
        self.pool = _pool(self.address, self.connections)

    def piece(self, model: str, version: int, index: int) -> bytes:
        """Return the bytes of a piece, unchecked.

        Raises
        ------
        WeightsError
            The origin did not answer with them.
        """
        return self._get(
            f"/v1/piece/{model}?item_count={index}&version={version}"
        )

    def _get(self, path: str) -> bytes:
        try:
            answer = self.pool.request(
                "GET",
                path,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=ORIGIN_TIMEOUT_S
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            raise errors.WeightsError(
                f"GET {path}: {error}",
                code=errors.ResultCode.ORIGIN_UNAVAILABLE,
            )
        if answer.status == http.HTTPStatus.GONE:
            raise errors.WeightsError(
                f"GET {path}: no longer there",
                code=errors.ResultCode.ORIGIN_CHANGED,
            )
        if answer.status != http.HTTPStatus.OK:
            raise errors.WeightsError(
                f"GET {path}: {answer.status}",
                code=errors.ResultCode.ORIGIN_UNAVAILABLE,
            )
        return answer.data


def _pool(address: str, connections: int) -> urllib3.HTTPConnectionPool:
    host, _, port = address.rpartition(":")
    return urllib3.HTTPConnectionPool(
        host, int(port), maxsize=connections, retries=False
    )
