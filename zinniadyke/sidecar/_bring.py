"""Fetches one version of a model's weights and lays it at the target."""

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
from zinniadyke.sidecar import _pick
from zinniadyke.sidecar import _piece_news
from zinniadyke.sidecar import _pieces
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

# Pieces that are asked for at once, and of them of the origin: all agents
# share its few connections.
TRANSFERS_AT_ONCE = 8
ORIGIN_CALLS = 1
# Longest sleep while nothing can be asked for.
CHECK_S = 0.1
# Pieces that the origin sends spoilt so often speak against their digests.
MAX_SPOILT = 3
# Rounds of reading back and mending what lies at the target.
MAX_CHECKS = 5


class SupersededError(errors.WeightsError):
    """Another version is wanted by now."""


class Bringer:
    """Fetches, checks and stages one version.

    Parameters
    ----------
    wanted
        Returns the version that is wanted now.
    bucket
        Paces what is asked for below the host's link.
    """

    def __init__(
        self,
        *,
        target: platform.ModelServerClient,
        origin: platform.OriginClient,
        store: _pieces.PieceStore,
        swarm: _pick.Swarm,
        client: _peer_client.PeerClient,
        news: _piece_news.PieceNews,
        wanted: Callable[[], ids.WeightsVersion],
        bucket: pacing.TokenBucket,
        piece_bytes: int,
    ) -> None:
        """Start with what the store holds."""
        self.target = target
        self.origin = origin
        self.store = store
        self.swarm = swarm
        self.client = client
        self.news = news
        self.wanted = wanted
        self.bucket = bucket
        self.piece_bytes = piece_bytes
        self.have: dict[str, set[int]] = {}
        self.asked: collections.Counter[str] = collections.Counter()
        self.in_flight: set[int] = set()
        self.spoilt: collections.Counter[int] = collections.Counter()
        self.from_origin = 0
        self.from_peers = 0

    def fetch(self) -> None:
        """Fetch all missing pieces.

        Raises
        ------
        SupersededError
            Another version is wanted.
        WeightsError
            The digests do not fit what the origin sends.
        """
        watcher = eventlet.spawn(
            self.news.watch,
            self.store,
            self.swarm.watched,
            self._note_have,
            self._note_gone,
        )
        try:
            self._fetch_all()
        finally:
            watcher.kill()

    def verify(self) -> None:
        """Read back what lies at the target and mend it from here.

        Raises
        ------
        WeightsError
            Pieces keep being spoilt.
        """
        for _ in range(MAX_CHECKS):
            spoilt = [
                index
                for index in range(len(self.store.digests))
                if not self.store.matches(
                    index, self.target.read_piece(self.store.model, index)
                )
            ]
            if not spoilt:
                return
            LOG.info(
                "staged pieces spoilt or absent",
                extra={
                    "version": self.store.version,
                    "pieces": len(spoilt),
                },
            )
            for index in spoilt:
                self.target.stage_piece(
                    self.store.model, index, self.store.pieces[index]
                )
        raise errors.WeightsError(code=errors.ResultCode.CHUNK_CORRUPT)

    def adopt_staged(self) -> None:
        """Take what lies at the target already, where it is right."""
        try:
            held = self.target.staged_pieces(self.store.model)
            for index in sorted(held & set(self.store.missing)):
                self.store.add(
                    index, self.target.read_piece(self.store.model, index)
                )
        except errors.EngineError as error:
            LOG.warning("staged not read", extra={"reason": error.message})

    def _fetch_all(self) -> None:
        begun = time.monotonic()
        while self.store.missing:
            if self.wanted() != self.store.version:
                LOG.info(
                    "weights superseded",
                    extra={
                        "version": self.store.version,
                        "missing": self.store.missing,
                        "from_origin": self.from_origin,
                        "from_peers": self.from_peers,
                        "peers_gone": sorted(self.swarm.gone),
                        "peers_have": {
                            h: len(have) for h, have in self.have.items()
                        },
                    },
                )
                raise SupersededError(code=errors.ResultCode.ORIGIN_CHANGED)
            if self.spoilt and max(self.spoilt.values()) >= MAX_SPOILT:
                raise errors.WeightsError(
                    "digests that no piece of the origin has",
                    code=errors.ResultCode.CHUNK_CORRUPT,
                )
            choice = None
            if len(self.in_flight) < TRANSFERS_AT_ONCE:
                choice = _pick.pick(
                    self.swarm,
                    [
                        index
                        for index in self.store.missing
                        if index not in self.in_flight
                    ],
                    self.have,
                    self.asked,
                    origin_free=self.asked[""] < ORIGIN_CALLS,
                    age_s=time.monotonic() - begun,
                )
            if choice is None:
                self.store.changed.wait(CHECK_S)
                continue
            self.in_flight.add(choice.index)
            self.asked[choice.host_ip] += 1
            eventlet.spawn_n(self._transfer, choice)

    def _transfer(self, choice: _pick.Choice) -> None:
        try:
            piece = self._ask(choice)
            if piece is not None and not self.store.add(choice.index, piece):
                self.have.get(choice.host_ip, set()).discard(choice.index)
                telemetry.count(telemetry.Metric.CHUNKS_CORRUPT)
                if choice.kind is _pick.SourceKind.ORIGIN:
                    self.spoilt[choice.index] += 1
                LOG.warning(
                    "piece spoilt on the way",
                    extra={
                        "piece": choice.index,
                        "version": self.store.version,
                        "source": choice.kind.value,
                        "host": choice.host_ip,
                    },
                )
        finally:
            self.in_flight.discard(choice.index)
            self.asked[choice.host_ip] -= 1
            self.store.changed.send()

    def _ask(self, choice: _pick.Choice) -> bytes | None:
        store = self.store
        if choice.kind is _pick.SourceKind.PEER:
            piece = self.client.piece(
                choice.host_ip,
                store,
                choice.index,
                size=self.piece_bytes,
                pace=self.bucket.take,
            )
            if piece is None:
                self.have.pop(choice.host_ip, None)
            if piece is not None:
                self.from_peers += 1
                telemetry.count(telemetry.Metric.CHUNKS_PEER_BYTES, len(piece))
            return piece
        self.bucket.take(self.piece_bytes)
        try:
            piece = self.origin.piece(store.model, store.version, choice.index)
        except errors.WeightsError as error:
            LOG.info("origin", extra={"reason": error.message})
            eventlet.sleep(CHECK_S)
            return None
        self.from_origin += 1
        telemetry.count(telemetry.Metric.CHUNKS_ORIGIN_BYTES, len(piece))
        return piece

    def _note_have(self, host_ip: str, indexes: set[int]) -> None:
        self.have[host_ip] = indexes
        self.swarm.note_pieces(host_ip, indexes)
        self.store.changed.send()

    def _note_gone(self, host_ip: str, gone: bool) -> None:
        if gone:
            self.swarm.gone.add(host_ip)
        else:
            self.swarm.gone.discard(host_ip)
        self.store.changed.send()
