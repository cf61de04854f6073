"""Fetches the pieces of one version of a model's weights."""

import collections
from collections.abc import Callable
import logging
import time

import eventlet

from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import pacing
from zinniadyke import platform
from zinniadyke.sidecar import _peer_client
from zinniadyke.sidecar import _piece_exchange
from zinniadyke.sidecar import _piece_selection
from zinniadyke.sidecar import _pieces
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

MAX_CONCURRENT_TRANSFERS = 8
# All agents share the few connections that the origin accepts.
MAX_CONCURRENT_ORIGIN_READS = 1
# Longest wait while no piece can be requested, and pause after an origin
# error.
POLL_INTERVAL_S = 0.1
# If the origin sends the same piece with a wrong digest this often, the
# digests are considered wrong.
MAX_CORRUPT_ORIGIN_READS = 3


class SupersededError(errors.WeightsError):
    """The version being fetched is no longer the wanted one."""


class WeightsFetcher:
    """Fetches the missing pieces of one version from peers and the origin.

    Parameters
    ----------
    wanted_version
        Returns the version to fetch at this moment.
    bucket
        Limits requested bytes to less than the capacity of the host's link.

    Attributes
    ----------
    peer_pieces
        Indexes of the pieces that each watched peer has, by host.
    requests_in_flight
        Number of requests in flight, by host; the origin's key is "".
    in_flight_pieces
        Indexes of the pieces being transferred.
    corrupt_pieces
        Number of reads from the origin with a wrong digest, by index.
    shared_since
        Monotonic time since which this agent shares the reading of the
        origin: the start of the fetch, or when it first knew a peer.
    """

    def __init__(
        self,
        *,
        origin: platform.OriginClient,
        store: _pieces.PieceStore,
        swarm: _piece_selection.Swarm,
        client: _peer_client.PeerClient,
        piece_exchange: _piece_exchange.PieceExchange,
        wanted_version: Callable[[], ids.WeightsVersion],
        bucket: pacing.TokenBucket,
        piece_bytes: int,
    ) -> None:
        """Start with the pieces that the store already has."""
        self.origin = origin
        self.store = store
        self.swarm = swarm
        self.client = client
        self.piece_exchange = piece_exchange
        self.wanted_version = wanted_version
        self.bucket = bucket
        self.piece_bytes = piece_bytes
        self.peer_pieces: dict[str, set[int]] = {}
        self.requests_in_flight: collections.Counter[str] = (
            collections.Counter()
        )
        self.in_flight_pieces: set[int] = set()
        self.corrupt_pieces: collections.Counter[int] = collections.Counter()
        self.shared_since = time.monotonic()
        self.from_origin = 0
        self.from_peers = 0

    def fetch(self) -> None:
        """Fetch all missing pieces.

        Raises
        ------
        SupersededError
            Another version is wanted.
        WeightsError
            The digests do not match the pieces that the origin sends.
        """
        self.shared_since = time.monotonic()
        watcher = eventlet.spawn(
            self.piece_exchange.watch_peers,
            self.store,
            self.swarm.hosts_to_watch,
            self._update_peer_pieces,
            self._set_unreachable,
        )
        try:
            self._fetch_missing()
        finally:
            watcher.kill()

    def update_peers(self, listed: list[_piece_selection.Peer]) -> None:
        """Share what is still missing with the agents that are listed now."""
        was_alone = self.swarm.is_alone
        if not self.swarm.update_peers(listed):
            return
        if was_alone:
            self.shared_since = time.monotonic()
        LOG.info(
            "peers changed during a fetch",
            extra={
                "version": self.store.version,
                "missing": len(self.store.missing),
                "peers": len(self.swarm.peers),
                "holders": len(self.swarm.holders),
            },
        )
        self.store.changed.send()

    def _fetch_missing(self) -> None:
        while self.store.missing:
            if self.wanted_version() != self.store.version:
                LOG.info(
                    "weights superseded",
                    extra={
                        "version": self.store.version,
                        "missing": self.store.missing,
                        "from_origin": self.from_origin,
                        "from_peers": self.from_peers,
                        "peers_gone": sorted(self.swarm.unreachable),
                        "peers_have": {
                            h: len(peer_pieces)
                            for h, peer_pieces in self.peer_pieces.items()
                        },
                    },
                )
                raise SupersededError(code=errors.ResultCode.ORIGIN_CHANGED)
            if (
                self.corrupt_pieces
                and max(self.corrupt_pieces.values())
                >= MAX_CORRUPT_ORIGIN_READS
            ):
                raise errors.WeightsError(
                    "pieces from the origin do not match their digests",
                    code=errors.ResultCode.CHUNK_CORRUPT,
                )
            request = None
            if len(self.in_flight_pieces) < MAX_CONCURRENT_TRANSFERS:
                request = _piece_selection.select_piece(
                    self.swarm,
                    [
                        index
                        for index in self.store.missing
                        if index not in self.in_flight_pieces
                    ],
                    self.peer_pieces,
                    self.requests_in_flight,
                    origin_allowed=self.requests_in_flight[""]
                    < MAX_CONCURRENT_ORIGIN_READS,
                    age_s=time.monotonic() - self.shared_since,
                )
            if request is None:
                self.store.changed.wait(POLL_INTERVAL_S)
                continue
            self.in_flight_pieces.add(request.index)
            self.requests_in_flight[request.host_ip] += 1
            eventlet.spawn_n(self._transfer, request)

    def _transfer(self, request: _piece_selection.PieceRequest) -> None:
        try:
            piece = self._request_piece(request)
            if piece is not None and not self.store.add(request.index, piece):
                self.peer_pieces.get(request.host_ip, set()).discard(
                    request.index
                )
                telemetry.count(telemetry.Metric.CHUNKS_CORRUPT)
                if request.kind is _piece_selection.SourceKind.ORIGIN:
                    self.corrupt_pieces[request.index] += 1
                LOG.warning(
                    "received corrupt piece",
                    extra={
                        "piece": request.index,
                        "version": self.store.version,
                        "source": request.kind.value,
                        "host": request.host_ip,
                    },
                )
        finally:
            self.in_flight_pieces.discard(request.index)
            self.requests_in_flight[request.host_ip] -= 1
            self.store.changed.send()

    def _request_piece(
        self, request: _piece_selection.PieceRequest
    ) -> bytes | None:
        store = self.store
        if request.kind is _piece_selection.SourceKind.PEER:
            piece = self.client.piece(
                request.host_ip,
                store,
                request.index,
                size_bytes=self.piece_bytes,
                throttle=self.bucket.take,
            )
            if piece is None:
                self.peer_pieces.pop(request.host_ip, None)
            if piece is not None:
                self.from_peers += 1
                telemetry.count(telemetry.Metric.CHUNKS_PEER_BYTES, len(piece))
            return piece
        self.bucket.take(self.piece_bytes)
        try:
            piece = self.origin.piece(
                store.model, store.version, request.index
            )
        except errors.WeightsError as error:
            LOG.info(
                "cannot read piece from origin",
                extra={"reason": error.message},
            )
            eventlet.sleep(POLL_INTERVAL_S)
            return None
        self.from_origin += 1
        telemetry.count(telemetry.Metric.CHUNKS_ORIGIN_BYTES, len(piece))
        return piece

    def _update_peer_pieces(self, host_ip: str, indexes: set[int]) -> None:
        self.peer_pieces[host_ip] = indexes
        self.swarm.update_peer_pieces(host_ip, indexes)
        self.store.changed.send()

    def _set_unreachable(self, host_ip: str, unreachable: bool) -> None:
        self.swarm.set_unreachable(host_ip, unreachable)
        self.store.changed.send()
