"""The manifest of a version: its size and the digests of its chunks."""

import hashlib

import msgspec

from zinniadyke import decoding
from zinniadyke import errors

MANIFEST_INDEX = -1
MANIFEST_SUFFIX = ".manifest"


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes and digests of the bytes of a version.

    Attributes
    ----------
    size
        Total length, in bytes.
    chunk_size
        Length of every chunk except the last, in bytes.
    chunks
        SHA-256 of each chunk, in hex.
    content
        SHA-256 of all the bytes, in hex; the engine reports the same digest
        once it has loaded them.
    """

    size: int
    chunk_size: int
    chunks: list[str]
    content: str

    def span(self, index: int) -> tuple[int, int]:
        """Return the offset and length of a chunk, in bytes."""
        start = index * self.chunk_size
        return start, min(self.chunk_size, self.size - start)

    def encode(self) -> bytes:
        """Return the JSON encoding, whose digest identifies the version."""
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> "Manifest":
        """Decode and validate a manifest.

        Raises
        ------
        WeightsError
            The bytes are not a valid manifest, or its sizes disagree.
        """
        try:
            manifest = msgspec.json.decode(data, type=cls)
        except decoding.UNREADABLE as error:
            raise errors.WeightsError(
                f"cannot decode the manifest: {error}",
                code=errors.ResultCode.CHUNK_CORRUPT,
            )
        count = -(-manifest.size // max(manifest.chunk_size, 1))
        if manifest.chunk_size <= 0 or count != len(manifest.chunks):
            raise errors.WeightsError(
                "the manifest's number of chunks does not match its sizes",
                code=errors.ResultCode.CHUNK_CORRUPT,
            )
        return manifest


def build_manifest(blob: bytes, chunk_size: int) -> Manifest:
    """Return the manifest of ``blob``, in chunks of ``chunk_size`` bytes."""
    view = memoryview(blob)
    return Manifest(
        size=len(blob),
        chunk_size=chunk_size,
        chunks=[
            hashlib.sha256(view[offset : offset + chunk_size]).hexdigest()
            for offset in range(0, len(blob), chunk_size)
        ],
        content=hashlib.sha256(view).hexdigest(),
    )
