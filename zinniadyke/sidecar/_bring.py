"""Brings one version of a model's weights to the target."""

from collections.abc import Callable
import collections
import http
import logging
import time

import eventlet
from eventlet import greenpool
from eventlet import semaphore
import urllib3

from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import pacing
from zinniadyke import platform
from zinniadyke.sidecar import _pieces
from zinniadyke.sidecar import _sources

LOG = logging.getLogger(__name__)

# Pieces that are asked for at once; most wait until a peer has them.
FETCHES_AT_ONCE = 10
# Calls to the origin at once: all agents share its few connections.
ORIGIN_CALLS = 2
# Failed rounds after which a piece is asked of the origin by others than its
# first reader.
ROUNDS_TO_ORIGIN = 2
PEER_CONNECT_S = 1.0
# A piece takes some 70 ms on a free link; a waiting answer comes first.
PEER_READ_S = 1.6
PEER_WAIT_S = 0.8
# A peer that did not answer is left alone for this long.
PEER_REST_S = 3.0
RETRY_S = 0.1
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
    peers
        Returns all agents of the service, this one too, in a shared order.
    bucket
        Paces what is asked for below the host's link.
    """

    def __init__(
        self,
        *,
        target: platform.ModelServerClient,
        origin: platform.OriginClient,
        store: _pieces.PieceStore,
        me_ip: str,
        port: int,
        peers: Callable[[], list[_sources.Peer]],
        wanted: Callable[[], ids.WeightsVersion],
        pools: dict[str, urllib3.HTTPConnectionPool],
        bucket: pacing.TokenBucket,
        piece_bytes: int,
    ) -> None:
        """Start with what the store holds."""
        self.target = target
        self.origin = origin
        self.store = store
        self.me_ip = me_ip
        self.port = port
        self.peers = peers
        self.wanted = wanted
        self.pools = pools
        self.bucket = bucket
        self.piece_bytes = piece_bytes
        self.origin_calls = semaphore.Semaphore(ORIGIN_CALLS)
        self.failures: collections.Counter[int] = collections.Counter()
        self.rested: dict[str, float] = {}
        self.from_origin = 0
        self.from_peers = 0

    def fetch(self) -> None:
        """Fetch all missing pieces and stage them.

        Raises
        ------
        SupersededError
            Another version is wanted.
        """
        peers = self.peers()
        me = self._me(peers)
        missing = set(self.store.missing)
        ordered = _sources.order(len(self.store.digests), me, peers)
        todo = collections.deque(i for i in ordered if i in missing)
        pool = greenpool.GreenPool(FETCHES_AT_ONCE)
        for _ in range(FETCHES_AT_ONCE):
            pool.spawn_n(self._work, todo, me, peers)
        pool.waitall()
        self._check_wanted()

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
            held = self.target.staged(self.store.model)
            for index in sorted(held & set(self.store.missing)):
                self.store.add(
                    index, self.target.read_piece(self.store.model, index)
                )
        except errors.EngineError as error:
            LOG.warning("staged not read", extra={"reason": error.message})

    def _work(self, todo: collections.deque, me, peers) -> None:
        while todo:
            index = todo.popleft()
            if self.wanted() != self.store.version:
                return
            try:
                found = self._fetch_piece(index, me, peers)
            except Exception:
                LOG.exception("piece failed", extra={"piece": index})
                found = False
            if not found:
                self.failures[index] += 1
                todo.append(index)
                eventlet.sleep(RETRY_S)

    def _fetch_piece(self, index: int, me, peers) -> bool:
        asked = _sources.sources(index, me, peers)
        if len(asked) > 1 and self.failures[index] < ROUNDS_TO_ORIGIN:
            asked = asked[:-1]
        for source in asked:
            if self.wanted() != self.store.version:
                return False
            piece = self._ask(index, source)
            if piece is None:
                continue
            if self.store.add(index, piece):
                return True
            LOG.warning(
                "piece spoilt on the way",
                extra={
                    "piece": index,
                    "version": self.store.version,
                    "source": source.kind.value,
                    "host": source.host_ip,
                },
            )
        return False

    def _ask(self, index: int, source: _sources.Source) -> bytes | None:
        if source.kind is _sources.SourceKind.ORIGIN:
            return self._ask_origin(index)
        if self.rested.get(source.host_ip, 0.0) > time.monotonic():
            return None
        if source.waits and (
            self._get(source, f"/ready{self._query(index)}&wait={PEER_WAIT_S}")
            is None
        ):
            return None
        self.bucket.take(self.piece_bytes)
        piece = self._get(source, f"/piece{self._query(index)}")
        self.from_peers += piece is not None
        return piece

    def _ask_origin(self, index: int) -> bytes | None:
        with self.origin_calls:
            self.bucket.take(self.piece_bytes)
            try:
                piece = self.origin.piece(
                    self.store.model, self.store.version, index
                )
            except errors.WeightsError as error:
                LOG.info("origin", extra={"reason": error.message})
                return None
        self.from_origin += 1
        return piece

    def _query(self, index: int) -> str:
        store = self.store
        return f"?model={store.model}&version={store.version}&index={index}"

    def _get(self, source: _sources.Source, path: str) -> bytes | None:
        host_ip = source.host_ip
        pool = self.pools.get(host_ip)
        if pool is None:
            pool = self.pools[host_ip] = urllib3.HTTPConnectionPool(
                host_ip, self.port, maxsize=FETCHES_AT_ONCE, retries=False
            )
        try:
            answer = pool.request(
                "GET",
                path,
                timeout=urllib3.Timeout(
                    connect=PEER_CONNECT_S, read=PEER_READ_S
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            self.rested[host_ip] = time.monotonic() + PEER_REST_S
            LOG.info(
                "peer silent", extra={"host": host_ip, "reason": str(error)}
            )
            return None
        if answer.status != http.HTTPStatus.OK:
            return None
        return answer.data

    def _me(self, peers: list[_sources.Peer]) -> _sources.Peer:
        for peer in peers:
            if peer.host_ip == self.me_ip:
                return peer
        return _sources.Peer(host_ip=self.me_ip, region="", holds=False)

    def _check_wanted(self) -> None:
        if self.store.missing and self.wanted() != self.store.version:
            raise SupersededError(code=errors.ResultCode.ORIGIN_CHANGED)
