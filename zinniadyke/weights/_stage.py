"""Verified chunks of one version, held in memory."""

from collections.abc import Iterator
import hashlib

from eventlet import event
from eventlet import tpool

from zinniadyke import errors
from zinniadyke import ids
from zinniadyke.weights import _manifest

TPOOL_MIN_BYTES = 1 << 16


class StagingArea:
    """The chunks of one version that have passed their digest check.

    Parameters
    ----------
    digest
        SHA-256 of the manifest, from the declaration.
    """

    def __init__(self, *, digest: ids.Digest) -> None:
        """Start with nothing verified."""
        self.digest = digest
        self.manifest: _manifest.Manifest | None = None
        self.chunks: dict[int, bytes] = {}
        self.arrivals: dict[int, event.Event] = {}
        self.closed = False

    @property
    def complete(self) -> bool:
        """Whether every chunk is held and verified."""
        if self.manifest is None:
            return False
        return len(self.chunks) == len(self.manifest.chunks) + 1

    @property
    def progress(self) -> float:
        """Part of the chunks held, from 0 to 1."""
        if self.manifest is None:
            return 0.0
        return len(self.chunks) / (len(self.manifest.chunks) + 1)

    @property
    def size(self) -> int:
        """Bytes held."""
        return sum(len(chunk) for chunk in self.chunks.values())

    def add(self, index: int, data: bytes) -> None:
        """Verify a chunk and keep it.

        Raises
        ------
        WeightsError
            The digest differs; the chunk is not kept.
        """
        if sha256(data) != self._expected_digest(index):
            raise errors.WeightsError(
                f"chunk {index} is corrupt",
                code=errors.ResultCode.CHUNK_CORRUPT,
            )
        if index == _manifest.MANIFEST_INDEX:
            self.manifest = _manifest.Manifest.decode(data)
        self.chunks[index] = data
        arrival = self.arrivals.pop(index, None)
        if arrival is not None:
            arrival.send()

    def wait(self, index: int) -> bytes | None:
        """Wait for a chunk; None when the stage is closed instead."""
        while index not in self.chunks:
            if self.closed:
                return None
            if index not in self.arrivals:
                self.arrivals[index] = event.Event()
            self.arrivals[index].wait()
        return self.chunks[index]

    def iter_chunks(self) -> Iterator[bytes]:
        """Yield all chunks in order, for the engine.

        Raises
        ------
        WeightsError
            A chunk is missing.
        """
        if not self.complete:
            raise errors.WeightsError(code=errors.ResultCode.NOT_STAGED)
        for index in range(len(self.manifest.chunks)):
            yield self.chunks[index]

    def suspend(self) -> None:
        """Wake everyone who waits; what is held stays."""
        self.closed = True
        arrivals, self.arrivals = self.arrivals, {}
        for arrival in arrivals.values():
            arrival.send()

    def resume(self) -> None:
        """Take in chunks again."""
        self.closed = False

    def close(self) -> None:
        """Free the memory and wake everyone who waits."""
        self.suspend()
        self.chunks = {}

    def _expected_digest(self, index: int) -> str:
        if index == _manifest.MANIFEST_INDEX:
            return self.digest
        if self.manifest is None or index >= len(self.manifest.chunks):
            return ""
        return self.manifest.chunks[index]


def sha256(data: bytes) -> str:
    """Return the digest in hex; large buffers do not block the hub."""
    if len(data) < TPOOL_MIN_BYTES:
        return hashlib.sha256(data).hexdigest()
    return tpool.execute(_sha256, data)


def _sha256(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()
