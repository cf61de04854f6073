"""In-memory staging area for the verified chunks of one version."""

from collections.abc import Iterator
import hashlib

from eventlet import event
from eventlet import tpool

from zinniadyke import errors
from zinniadyke import ids
from zinniadyke.weights import _manifest

TPOOL_MIN_BYTES = 1 << 16


class StagingArea:
    """Holds the chunks of one version that passed their digest check.

    Parameters
    ----------
    digest
        SHA-256 of the manifest, in hex, from the version's declaration.
    """

    def __init__(self, *, digest: ids.Digest) -> None:
        """Create an empty staging area."""
        self.digest = digest
        self.manifest: _manifest.Manifest | None = None
        self.chunks: dict[int, bytes] = {}
        self.chunk_events: dict[int, event.Event] = {}
        self.closed = False

    @property
    def complete(self) -> bool:
        """Whether the manifest and all chunks are held and verified."""
        if self.manifest is None:
            return False
        return len(self.chunks) == len(self.manifest.chunks) + 1

    @property
    def progress(self) -> float:
        """Fraction of the manifest and chunks held, from 0 to 1."""
        if self.manifest is None:
            return 0.0
        return len(self.chunks) / (len(self.manifest.chunks) + 1)

    @property
    def size(self) -> int:
        """Number of bytes held."""
        return sum(len(chunk) for chunk in self.chunks.values())

    def add(self, index: int, data: bytes) -> None:
        """Verify a chunk and keep it.

        Raises
        ------
        WeightsError
            The digest does not match; the chunk is not kept.
        """
        if sha256(data) != self._expected_digest(index):
            raise errors.WeightsError(
                f"chunk {index} does not match its expected digest",
                code=errors.ResultCode.CHUNK_CORRUPT,
            )
        if index == _manifest.MANIFEST_INDEX:
            self.manifest = _manifest.Manifest.decode(data)
        self.chunks[index] = data
        chunk_event = self.chunk_events.pop(index, None)
        if chunk_event is not None:
            chunk_event.send()

    def wait(self, index: int) -> bytes | None:
        """Wait for a chunk; return None if the staging area closes first."""
        while index not in self.chunks:
            if self.closed:
                return None
            if index not in self.chunk_events:
                self.chunk_events[index] = event.Event()
            self.chunk_events[index].wait()
        return self.chunks[index]

    def iter_chunks(self) -> Iterator[bytes]:
        """Yield the chunks in order, without the manifest, for the engine.

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
        """Wake all waiting tasks, but keep the chunks."""
        self.closed = True
        chunk_events, self.chunk_events = self.chunk_events, {}
        for chunk_event in chunk_events.values():
            chunk_event.send()

    def resume(self) -> None:
        """Reopen the staging area, so that tasks can wait for chunks again."""
        self.closed = False

    def close(self) -> None:
        """Wake all waiting tasks and free the chunks."""
        self.suspend()
        self.chunks = {}

    def _expected_digest(self, index: int) -> str:
        if index == _manifest.MANIFEST_INDEX:
            return self.digest
        if self.manifest is None or index >= len(self.manifest.chunks):
            return ""
        return self.manifest.chunks[index]


def sha256(data: bytes) -> str:
    """Return the digest in hex.

    Large buffers are hashed in a thread, so that they do not block the hub.
    """
    if len(data) < TPOOL_MIN_BYTES:
        return hashlib.sha256(data).hexdigest()
    return tpool.execute(_hash_in_thread, data)


def _hash_in_thread(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()
