"""Fetches the chunks of a version from peers or the origin."""

from collections.abc import Callable
import logging
import time

import eventlet
import msgspec

from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import origin
from zinniadyke import pacing
from zinniadyke import peers
from zinniadyke import platform
from zinniadyke.weights import _distribution_tree
from zinniadyke.weights import _manifest
from zinniadyke.weights import _origin_read_limit
from zinniadyke.weights import _stage

LOG = logging.getLogger(__name__)

MAX_CONCURRENT_CHUNKS = 64
ACK_TIMEOUT_S = 1.0
PING_INTERVAL_S = 1.0
INCARNATION_CHECK_INTERVAL_S = 4.0
PENDING_TIMEOUT_S = 30.0
MAX_CORRUPT_ORIGIN_READS = 4


ChooseHosts = Callable[
    [_distribution_tree.Placement, int, ids.HostName, float],
    list[platform.Host],
]


class SourceCounts(msgspec.Struct, kw_only=True):
    """Bytes received by source, with counts of corrupt chunks and timeouts."""

    origin: int = 0
    same_zone: int = 0
    other_zone: int = 0
    corrupt: int = 0
    timeouts: int = 0


class ChunkFetcher:
    """Fills a staging area; each attempt needs a new fetcher.

    Parameters
    ----------
    version
        ``model/version``.
    source
        URL of the version's bytes at the origin.
    placement
        Returns the current placement of the version's hosts.
    connect
        Returns the connection to a host's agent.
    origin_copies
        Planned number of full copies to read from the origin.
    choose
        Returns the hosts to request a chunk from, in order.
    budget_bytes
        Memory limit for the version, in bytes; 0 for no limit.
    """

    def __init__(
        self,
        *,
        me: platform.Host,
        version: str,
        source: str,
        stage: _stage.StagingArea,
        placement: Callable[[], _distribution_tree.Placement],
        connect: Callable[[platform.Host], peers.PeerConnection],
        origin_client: origin.OriginClient,
        origin_copies: float = 1.0,
        budget_bytes: int = 0,
        ingress_limiter: pacing.TokenBucket | None = None,
        choose: ChooseHosts = _distribution_tree.candidates,
    ) -> None:
        """Store the collaborators; ``run`` does the work."""
        self.me = me
        self.version = version
        self.source = source
        self.stage = stage
        self.placement = placement
        self.connect = connect
        self.origin_client = origin_client
        self.origin_copies = origin_copies
        self.budget_bytes = budget_bytes
        self.choose = choose
        self.ingress_limiter = ingress_limiter or pacing.TokenBucket()
        self.counts = SourceCounts()
        self.banned_peers: set[ids.HostName] = set()
        self.origin_read_limit = _origin_read_limit.OriginReadLimit()
        self.etag = ""

    def run(self) -> None:
        """Fetch the manifest, then all chunks.

        Raises
        ------
        WeightsError
            The origin's bytes changed or remain corrupt, or the version is
            larger than the budget.
        """
        self.fetch_manifest()
        self._check_budget()
        pool = eventlet.GreenPool(MAX_CONCURRENT_CHUNKS)
        missing = [
            index
            for index in range(len(self.stage.manifest.chunks))
            if index not in self.stage.chunks
        ]
        results = pool.imap(self._try_fetch, missing)
        try:
            for error in results:
                if error is not None:
                    raise error
        finally:
            # imap runs its tasks in a separate pool, so kill both.
            _kill_tasks(pool)
            _kill_tasks(results.pool)

    def fetch_manifest(self) -> _manifest.Manifest:
        """Fetch only the manifest.

        Raises
        ------
        WeightsError
            The origin's manifest remains corrupt.
        """
        if self.stage.manifest is None:
            self._fetch_chunk(_manifest.MANIFEST_INDEX)
        return self.stage.manifest

    def _check_budget(self) -> None:
        size = self.stage.manifest.size
        if self.budget_bytes and size > self.budget_bytes:
            raise errors.WeightsError(
                f"version {self.version} has {size} bytes, "
                f"more than the memory budget of {self.budget_bytes} bytes",
                code=errors.ResultCode.NO_MEMORY,
            )

    def _try_fetch(self, index: int) -> errors.WeightsError | None:
        """Fetch a chunk; return the error so that ``run`` can raise it."""
        try:
            self._fetch_chunk(index)
        except errors.WeightsError as error:
            return error
        return None

    def _fetch_chunk(self, index: int) -> None:
        placement = self.placement()
        hosts = self.choose(placement, index, self.me.name, self.origin_copies)
        for host in hosts:
            if self._fetch_from_peer(host, index, wait=True):
                return
        holders = [
            *_distribution_tree.seeds(placement),
            *_distribution_tree.holders_after_restart(
                placement, index, self.me.name
            ),
        ]
        for host in dict.fromkeys(holders):
            if self._fetch_from_peer(host, index, wait=False):
                return
        self._fetch_from_origin(index)

    def _fetch_from_peer(
        self, host: platform.Host, index: int, *, wait: bool
    ) -> bool:
        if host.name in self.banned_peers or host.name == self.me.name:
            return False
        try:
            data = self._request_chunk(host, index, wait)
            if data is None:
                return False
            self.ingress_limiter.take(len(data))
            self.stage.add(index, data)
        except errors.PeerTimeoutError:
            self.counts.timeouts += 1
            return False
        except errors.WeightsError:
            self.counts.corrupt += 1
            self.banned_peers.add(host.name)
            LOG.warning(
                "corrupt chunk received, peer banned",
                extra={
                    "peer": host.name,
                    "version": self.version,
                    "code": errors.ResultCode.CHUNK_CORRUPT.number,
                },
            )
            return False
        if host.zone == self.me.zone:
            self.counts.same_zone += len(data)
        else:
            self.counts.other_zone += len(data)
        return True

    def _request_chunk(
        self, host: platform.Host, index: int, wait: bool
    ) -> bytes | None:
        connection = self.connect(host)
        call = connection.start(
            peers.GetChunk(version=self.version, index=index, wait=wait)
        )
        try:
            message, data = call.receive(ACK_TIMEOUT_S)
            if isinstance(message, peers.ChunkPending):
                message, data = _wait_for_pending_chunk(
                    connection, call, message
                )
        finally:
            connection.finish(call)
        return data if isinstance(message, peers.ChunkFound) else None

    def _fetch_from_origin(self, index: int) -> None:
        corrupt = 0
        while True:
            with self.origin_read_limit:
                try:
                    self._read_from_origin(index)
                    self.origin_read_limit.record_success()
                    return
                except errors.WeightsError as error:
                    if error.code is errors.ResultCode.CHUNK_CORRUPT:
                        self.counts.corrupt += 1
                        corrupt += 1
                    if error.code is errors.ResultCode.ORIGIN_CHANGED:
                        raise
                    if corrupt >= MAX_CORRUPT_ORIGIN_READS:
                        raise
                self.origin_read_limit.record_failure()

    def _read_from_origin(self, index: int) -> None:
        """Read and keep one chunk; pin later reads to its object revision."""
        if index == _manifest.MANIFEST_INDEX:
            url = self.source + _manifest.MANIFEST_SUFFIX
            origin_range = self.origin_client.read(url)
            self.counts.origin += len(origin_range.data)
            self.stage.add(index, origin_range.data)
            return
        start, size = self.stage.manifest.span(index)
        self.ingress_limiter.take(size)
        origin_range = self.origin_client.read(
            self.source, start=start, size=size, etag=self.etag
        )
        self.counts.origin += len(origin_range.data)
        self.stage.add(index, origin_range.data)
        self.etag = self.etag or origin_range.etag


def _kill_tasks(pool: eventlet.GreenPool) -> None:
    for task in list(pool.coroutines_running):
        eventlet.kill(task)


def _wait_for_pending_chunk(
    connection: peers.PeerConnection,
    call: peers.Call,
    pending: peers.ChunkPending,
) -> tuple[peers.Message, bytes]:
    """Wait for a chunk while the peer answers and has not restarted.

    The peer is asked for its status when its connection is silent. Otherwise
    it is asked only occasionally, to check that its incarnation is still the
    one that promised the chunk.
    """
    deadline = time.monotonic() + PENDING_TIMEOUT_S
    checked_at = time.monotonic()
    while time.monotonic() < deadline:
        try:
            return call.receive(PING_INTERVAL_S)
        except errors.PeerTimeoutError:
            now = time.monotonic()
        silent = now - connection.last_received_at >= PING_INTERVAL_S
        if not silent and now - checked_at < INCARNATION_CHECK_INTERVAL_S:
            continue
        checked_at = now
        status, _ = connection.send_and_receive(
            peers.GetStatus(), ACK_TIMEOUT_S
        )
        if status.incarnation != pending.incarnation:
            break
    raise errors.PeerTimeoutError(
        "the peer did not deliver the chunk that it promised"
    )
