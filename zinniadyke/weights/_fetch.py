"""Fetches the chunks of a version from peers and the origin."""

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
from zinniadyke.weights import _manifest
from zinniadyke.weights import _origin_window
from zinniadyke.weights import _plan
from zinniadyke.weights import _stage

LOG = logging.getLogger(__name__)

WINDOW_CHUNKS = 64
ACK_TIMEOUT_S = 1.0
PING_INTERVAL_S = 1.0
CHECK_INTERVAL_S = 4.0
PENDING_TIMEOUT_S = 30.0
ORIGIN_TRIES = 4


Choose = Callable[
    [_plan.Placement, int, ids.HostName, float], list[platform.Host]
]


class SourceCounts(msgspec.Struct, kw_only=True):
    """Bytes received by source, and faults that were met."""

    origin: int = 0
    same_zone: int = 0
    other_zone: int = 0
    corrupt: int = 0
    timeouts: int = 0


class ChunkFetcher:
    """Fills a stage, once; one fetcher for each try.

    Parameters
    ----------
    version
        ``model/version``.
    source
        URL of the bytes at the origin.
    placement
        Returns the present placement of the version's hosts.
    connect
        Returns the connection to a host's agent.
    origin_copies
        Number of copies that may be read from the origin by plan.
    choose
        Returns the hosts to ask for a chunk, in turn.
    budget_bytes
        Memory for the version; 0 for no limit.
    """

    def __init__(
        self,
        *,
        me: platform.Host,
        version: str,
        source: str,
        stage: _stage.StagingArea,
        placement: Callable[[], _plan.Placement],
        connect: Callable[[platform.Host], peers.PeerConnection],
        origin_client: origin.OriginClient,
        origin_copies: float = 1.0,
        budget_bytes: int = 0,
        ingress_limiter: pacing.TokenBucket | None = None,
        choose: Choose = _plan.candidates,
    ) -> None:
        """Hold the parts; ``run`` does the work."""
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
        self.banned: set[ids.HostName] = set()
        self.window = _origin_window.OriginWindow()
        self.tag = ""

    def run(self) -> None:
        """Fetch the manifest, then all chunks.

        Raises
        ------
        WeightsError
            The origin's bytes changed or stay corrupt, or the version is
            larger than the budget.
        """
        self.fetch_manifest()
        self._check_budget()
        pool = eventlet.GreenPool(WINDOW_CHUNKS)
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
            # The map starts its tasks in a pool of its own.
            _kill_tasks(pool)
            _kill_tasks(results.pool)

    def fetch_manifest(self) -> _manifest.Manifest:
        """Fetch only the manifest.

        Raises
        ------
        WeightsError
            The origin's manifest stays corrupt.
        """
        if self.stage.manifest is None:
            self._fetch(_manifest.MANIFEST_INDEX)
        return self.stage.manifest

    def _check_budget(self) -> None:
        size = self.stage.manifest.size
        if self.budget_bytes and size > self.budget_bytes:
            raise errors.WeightsError(
                f"{self.version} has {size} bytes, {self.budget_bytes} left",
                code=errors.ResultCode.NO_MEMORY,
            )

    def _try_fetch(self, index: int) -> errors.WeightsError | None:
        """Fetch a chunk; the error is returned, for the task that waits."""
        try:
            self._fetch(index)
        except errors.WeightsError as error:
            return error
        return None

    def _fetch(self, index: int) -> None:
        placement = self.placement()
        hosts = self.choose(placement, index, self.me.name, self.origin_copies)
        for host in hosts:
            if self._from_peer(host, index, wait=True):
                return
        holders = [
            *_plan.seeds(placement),
            *_plan.former_life(placement, index, self.me.name),
        ]
        for host in dict.fromkeys(holders):
            if self._from_peer(host, index, wait=False):
                return
        self._from_origin(index)

    def _from_peer(
        self, host: platform.Host, index: int, *, wait: bool
    ) -> bool:
        if host.name in self.banned or host.name == self.me.name:
            return False
        try:
            data = self._ask(host, index, wait)
            if data is None:
                return False
            self.ingress_limiter.take(len(data))
            self.stage.add(index, data)
        except errors.PeerTimeoutError:
            self.counts.timeouts += 1
            return False
        except errors.WeightsError:
            self.counts.corrupt += 1
            self.banned.add(host.name)
            LOG.warning(
                "corrupt chunk from a peer",
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

    def _ask(
        self, host: platform.Host, index: int, wait: bool
    ) -> bytes | None:
        connection = self.connect(host)
        call = connection.start(
            peers.GetChunk(version=self.version, index=index, wait=wait)
        )
        try:
            message, data = call.receive(ACK_TIMEOUT_S)
            if isinstance(message, peers.ChunkPending):
                message, data = _wait_pending(connection, call, message)
        finally:
            connection.finish(call)
        return data if isinstance(message, peers.ChunkFound) else None

    def _from_origin(self, index: int) -> None:
        corrupt = 0
        while True:
            with self.window:
                try:
                    self._read_origin(index)
                    self.window.note_success()
                    return
                except errors.WeightsError as error:
                    if error.code is errors.ResultCode.CHUNK_CORRUPT:
                        self.counts.corrupt += 1
                        corrupt += 1
                    if error.code is errors.ResultCode.ORIGIN_CHANGED:
                        raise
                    if corrupt >= ORIGIN_TRIES:
                        raise
                self.window.note_failure()

    def _read_origin(self, index: int) -> None:
        """Read one chunk and keep it; pins the revision it came from."""
        if index == _manifest.MANIFEST_INDEX:
            url = self.source + _manifest.MANIFEST_SUFFIX
            found = self.origin_client.read(url)
            self.counts.origin += len(found.data)
            self.stage.add(index, found.data)
            return
        start, size = self.stage.manifest.span(index)
        self.ingress_limiter.take(size)
        found = self.origin_client.read(
            self.source, start=start, size=size, tag=self.tag
        )
        self.counts.origin += len(found.data)
        self.stage.add(index, found.data)
        self.tag = self.tag or found.tag


def _kill_tasks(pool: eventlet.GreenPool) -> None:
    for task in list(pool.coroutines_running):
        eventlet.kill(task)


def _wait_pending(
    connection: peers.PeerConnection,
    call: peers.Call,
    pending: peers.ChunkPending,
) -> tuple[peers.Message, bytes]:
    """Wait for a chunk as long as the same life of the peer answers.

    A peer that was heard of late need not be asked, except now and then
    whether it still is the one that promised the chunk.
    """
    deadline = time.monotonic() + PENDING_TIMEOUT_S
    checked_at = time.monotonic()
    while time.monotonic() < deadline:
        try:
            return call.receive(PING_INTERVAL_S)
        except errors.PeerTimeoutError:
            now = time.monotonic()
        silent = now - connection.heard_at >= PING_INTERVAL_S
        if not silent and now - checked_at < CHECK_INTERVAL_S:
            continue
        checked_at = now
        status, _ = connection.send_and_receive(
            peers.GetStatus(), ACK_TIMEOUT_S
        )
        if status.incarnation != pending.incarnation:
            break
    raise errors.PeerTimeoutError("the peer did not get the chunk")
