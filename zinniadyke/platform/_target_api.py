"""Clients of the model server on an agent's host and of the origin.

The query parameter ``item_count`` of both APIs is the index of a piece.
"""

import http
import logging
import time

import msgspec
import urllib3

from zinniadyke import bounded_http
from zinniadyke import decoding
from zinniadyke import errors
from zinniadyke import http_pools
from zinniadyke import ids
from zinniadyke.platform import _cold_time
from zinniadyke.platform import _decode_target
from zinniadyke.platform import _digests
from zinniadyke.platform import _host_figures
from zinniadyke.platform import _retry_after
from zinniadyke.platform import _target_limit
from zinniadyke.platform import _target_load
from zinniadyke.platform import headers as header_names

LOG = logging.getLogger(__name__)

MAX_LOGGED_CHARS = 40
# The model server on the same host answers at once.
LOCAL_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 2.0
# A piece of 32 KiB takes about 70 ms on a host's link, and several downloads
# share the link.
ORIGIN_TIMEOUT_S = 3.0
# SYN packets are delayed on a saturated link.
CONNECT_TIMEOUT_S = 1.5
LOCAL_CONNECTIONS = 2
# Largest piece or manifest that is read into memory.
MAX_PIECE_BYTES = 8 << 20
# Time for an answer of the model server to arrive beyond its timeout.
LOCAL_TRANSFER_S = 2.0
# Time limit of a whole call to the origin, whose link many share.
ORIGIN_TRANSFER_S = 15.0


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """State that a model server reports.

    Attributes
    ----------
    orders_begun
        Number of orders that it has begun since its start.
    order_in_progress
        Whether an order is in progress.
    born_ms
        Unix time of its start in milliseconds; 0 if unknown.
    leaving
        Whether this start of it has said in a report that it is leaving.
    limit_per_s
        Requests a second that it takes from all entries together; None if
        it names no limit.
    cold_s
        Time in seconds for which it is still cold, as its answers said.
    pace
        Factor by which work takes longer than usual on its host; None if no
        load header has stated one.
    kv_used, kv_total
        KV cache that cannot be freed, and its capacity, in tokens x layers;
        0 if unknown.
    """

    running: int
    waiting: int
    orders_begun: int
    order_in_progress: bool
    born_ms: int
    weights: dict[ids.ModelName, ids.WeightsVersion]
    leaving: bool = False
    limit_per_s: float | None = None
    cold_s: float = 0.0
    pace: float | None = None
    kv_used: int = 0
    kv_total: int = 0


class _Report(msgspec.Struct):
    # `seq` counts accepted orders; `busy` is true while one is in progress.
    models: list[_decode_target.HeldModel] = []
    layers: _decode_target.HeldLayers | None = None
    busy: bool = False
    seq: int = 0
    waiting: int = 0
    running: int = 0
    born: int = 0
    # Any type, so that an unreadable figure does not cost the others.
    pace: object = None
    kv_used: object = 0
    kv_total: object = 0


class _Held(msgspec.Struct):
    held: list[int]


class _Order(msgspec.Struct, kw_only=True, omit_defaults=True):
    # `expected` is the number of orders that must have begun before this one.
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
    """SHA-256 digests in hexadecimal of a version's pieces, in order."""

    version: ids.WeightsVersion
    digests: tuple[str, ...]


class ModelServerClient:
    """Calls the model server on this host.

    A server in trouble may send a second copy of an answer, which the next
    call on the connection would take for its own. So reports have a
    connection of their own, each order has a new one, and those of pieces,
    which are checked by their digests, are replaced after a mismatch.

    Parameters
    ----------
    address
        ``ip:port`` of the server.
    """

    def __init__(self, *, address: str) -> None:
        """Create the connection pool, which connects on first use."""
        self.address = address
        self.pool = _connection_pool(address, LOCAL_CONNECTIONS)
        self.report_pool = _connection_pool(address, 1)
        # Monotonic time until which the server wants no calls.
        self.closed_until = float("-inf")
        # Monotonic time until which the server said that it is cold.
        self.cold_until = float("-inf")
        # Whether the server has stated its host's slowness in a header.
        self.slowness_stated = False
        self.load_header_logged = False
        # Start of the server that said that it is leaving.
        self.leaving_born_ms: int | None = None

    def report(self, layer_count: int) -> EngineReport:
        """Return the server's state.

        Raises
        ------
        EngineError
            The server did not answer with its state.
        """
        answer = self._call("GET", "/v1/report", pool=self.report_pool)
        try:
            decoded = msgspec.json.decode(answer.data, type=_Report)
        except decoding.UNREADABLE as error:
            raise errors.EngineError(f"unreadable report: {error}")
        if answer.headers.get(header_names.LEAVING) == "1":
            self.leaving_born_ms = decoded.born
        return EngineReport(
            running=decoded.running,
            waiting=decoded.waiting,
            orders_begun=decoded.seq,
            order_in_progress=decoded.busy,
            born_ms=decoded.born,
            weights=_decode_target.complete_versions(
                decoded.models, decoded.layers, layer_count
            ),
            leaving=self.leaving_born_ms == decoded.born,
            limit_per_s=_target_limit.parse_limit(
                answer.headers.get(header_names.TARGET_LIMIT, ""),
                self.address,
            ),
            cold_s=max(self.cold_until - time.monotonic(), 0.0),
            pace=self._choose_pace(
                answer.headers.get(header_names.TARGET_LOAD, ""), decoded.pace
            ),
            kv_used=_host_figures.read_tokens(decoded.kv_used),
            kv_total=_host_figures.read_tokens(decoded.kv_total),
        )

    def _choose_pace(self, load_header: str, pace: object) -> float | None:
        load = _target_load.parse_load(load_header)
        if load is not None and load.slowness is not None:
            self.slowness_stated = True
        if load is not None and load.unusable and not self.load_header_logged:
            # The server may state it in each answer.
            self.load_header_logged = True
            LOG.warning(
                "figures of the model server's load unusable, ignored",
                extra={
                    "address": self.address,
                    "value": load_header[:MAX_LOGGED_CHARS],
                },
            )
        return _host_figures.choose_pace(
            load, pace, stated_before=self.slowness_stated
        )

    def staged_pieces(self, model: str) -> set[int]:
        """Return the indexes of the staged pieces, of any version."""
        try:
            answer = self._call("GET", f"/v1/stage-get/{model}")
            return set(msgspec.json.decode(answer.data, type=_Held).held)
        except (errors.EngineError, *decoding.UNREADABLE) as error:
            raise errors.EngineError(
                f"reading the staged pieces failed: {error}"
            )

    def read_piece(self, model: str, index: int) -> bytes | None:
        """Return a staged piece, which may be corrupt; None if absent."""
        answer = self._call(
            "GET",
            f"/v1/stage-get/{model}?item_count={index}",
            allowed=(http.HTTPStatus.OK, http.HTTPStatus.NOT_FOUND),
        )
        return answer.data if answer.status == http.HTTPStatus.OK else None

    def replace_connections(self) -> None:
        """Close the connections of pieces, as an answer was not its call's."""
        self.pool.close()
        self.pool = _connection_pool(self.address, LOCAL_CONNECTIONS)

    def stage_piece(self, model: str, index: int, piece: bytes) -> None:
        """Stage a piece on the server."""
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
        """Order the server to load the staged pieces.

        Parameters
        ----------
        orders_begun
            Number of orders that the server must have begun before;
            otherwise it refuses this one.
        cancel_running
            Whether running requests are cut off instead of waited for.

        Returns
        -------
        bool
            Whether the order has begun or is in effect.

        Raises
        ------
        EngineError
            The server did not answer; it may have accepted the order.
        """
        order = _Order(
            operation="start",
            model=model,
            version=version,
            switch_mode="truncate" if cancel_running else "wait",
            expected=orders_begun,
        )
        pool = _connection_pool(self.address, 1)
        try:
            answer = self._call(
                "POST",
                "/v1/order",
                pool=pool,
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
        finally:
            pool.close()
        return answer.status in (http.HTTPStatus.OK, http.HTTPStatus.ACCEPTED)

    def _call(
        self,
        method: str,
        path: str,
        *,
        pool: urllib3.HTTPConnectionPool | None = None,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = LOCAL_TIMEOUT_S,
        allowed: tuple = (
            http.HTTPStatus.OK,
            http.HTTPStatus.CREATED,
            http.HTTPStatus.NO_CONTENT,
        ),
    ) -> bounded_http.Answer:
        closed_s = self.closed_until - time.monotonic()
        if closed_s > 0:
            raise errors.EngineError(
                f"{method} {path}: the server wants no calls for another"
                f" {closed_s:.1f} s"
            )
        try:
            answer = bounded_http.request(
                pool or self.pool,
                method,
                path,
                max_bytes=MAX_PIECE_BYTES,
                total_s=timeout_s + LOCAL_TRANSFER_S,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=timeout_s
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            raise errors.EngineError(f"{method} {path}: {error}")
        self.closed_until = max(
            self.closed_until, _closed_until(answer, self.address)
        )
        cold_s = _cold_time.parse_cold(
            answer.headers.get(header_names.COLD_MS, ""), self.address
        )
        if cold_s is not None:
            self.cold_until = time.monotonic() + cold_s
        if answer.status not in allowed:
            raise errors.EngineError(
                f"{method} {path}: status {answer.status}"
            )
        return answer


class OriginClient:
    """Reads manifests and pieces from the origin of weights.

    Parameters
    ----------
    address
        ``ip:port`` of the origin.
    connections
        Number of connections that are kept open.
    """

    def __init__(self, *, address: str, connections: int) -> None:
        """Create the connection pool, which connects on first use."""
        self.address = address
        self.connections = connections
        # Monotonic time until which the origin wants no calls.
        self.closed_until = float("-inf")
        self.pool = _connection_pool(address, connections)

    def manifest(
        self, model: str, version: int, *, piece_count: int
    ) -> ManifestAnswer:
        """Return the digests of a version's pieces.

        Parameters
        ----------
        piece_count
            Number of pieces in the configuration; 0 if it names none.

        Raises
        ------
        WeightsError
            The origin did not answer with the requested data.
        """
        data = self._get(f"/v1/manifest/{model}?version={version}")
        try:
            decoded = msgspec.json.decode(data, type=_Manifest)
        except decoding.UNREADABLE as error:
            raise errors.WeightsError(
                f"unreadable manifest: {error}",
                code=errors.ResultCode.ORIGIN_UNAVAILABLE,
            )
        if (decoded.model, decoded.version) != (model, version):
            raise errors.WeightsError(
                f"manifest is for version {decoded.version} of"
                f" {decoded.model!r}",
                code=errors.ResultCode.ORIGIN_CHANGED,
            )
        _digests.check_digests(tuple(decoded.digests), piece_count)
        return ManifestAnswer(
            version=ids.WeightsVersion(decoded.version),
            digests=tuple(decoded.digests),
        )

    def close_idle(self) -> None:
        """Close the idle connections: the origin accepts only a few."""
        self.pool.close()
        self.pool = _connection_pool(self.address, self.connections)

    def piece(self, model: str, version: int, index: int) -> bytes:
        """Return the bytes of a piece without checking their digest.

        Raises
        ------
        WeightsError
            The origin did not answer with the requested data.
        """
        return self._get(
            f"/v1/piece/{model}?item_count={index}&version={version}"
        )

    def _get(self, path: str) -> bytes:
        closed_s = self.closed_until - time.monotonic()
        if closed_s > 0:
            raise errors.WeightsError(
                f"GET {path}: the origin wants no calls for another"
                f" {closed_s:.1f} s",
                code=errors.ResultCode.ORIGIN_UNAVAILABLE,
            )
        try:
            answer = bounded_http.request(
                self.pool,
                "GET",
                path,
                max_bytes=MAX_PIECE_BYTES,
                total_s=ORIGIN_TRANSFER_S,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=ORIGIN_TIMEOUT_S
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            raise errors.WeightsError(
                f"GET {path}: {error}",
                code=errors.ResultCode.ORIGIN_UNAVAILABLE,
            )
        self.closed_until = max(
            self.closed_until, _closed_until(answer, self.address)
        )
        if answer.status == http.HTTPStatus.GONE:
            raise errors.WeightsError(
                f"GET {path}: removed from the origin",
                code=errors.ResultCode.ORIGIN_CHANGED,
            )
        if answer.status != http.HTTPStatus.OK:
            raise errors.WeightsError(
                f"GET {path}: status {answer.status}",
                code=errors.ResultCode.ORIGIN_UNAVAILABLE,
            )
        return answer.data


def _closed_until(answer: bounded_http.Answer, address: str) -> float:
    """Return the monotonic time until which a server wants no calls."""
    if answer.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return float("-inf")
    seconds = _retry_after.parse_retry_after(
        answer.headers.get(header_names.RETRY_AFTER, ""), address
    )
    return time.monotonic() + seconds if seconds else float("-inf")


def _connection_pool(
    address: str, connections: int
) -> urllib3.HTTPConnectionPool:
    host, _, port = address.rpartition(":")
    return http_pools.connection_pool(host, int(port), maxsize=connections)
