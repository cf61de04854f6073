"""The manifest of a version: the digests of its chunks."""

import hashlib

import msgspec

from zinniadyke import errors

MANIFEST_INDEX = -1
MANIFEST_SUFFIX = ".manifest"


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes and digests of a version's bytes.

    Attributes
    ----------
    size
        Length of the whole, in bytes.
    chunk_size
        Length of each chunk but the last, in bytes.
    chunks
        SHA-256 of each chunk, in hex.
    content
        SHA-256 of the whole, in hex; the engine reports the same.
    """

    size: int
    chunk_size: int
    chunks: list[str]
    content: str

    def span(self, index: int) -> tuple[int, int]:
        """Return start and length of a chunk, in bytes."""
        start = index * self.chunk_size
        return start, min(self.chunk_size, self.size - start)

    def encode(self) -> bytes:
        """Return the bytes whose digest names the version."""
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> "Manifest":
        """Read and check an encoded manifest.

        Raises
        ------
        WeightsError
            The bytes are not a consistent manifest.
        """
        try:
            manifest = msgspec.json.decode(data, type=cls)
        except msgspec.MsgspecError as error:
            raise errors.WeightsError(
                f"manifest: {error}", code=errors.ResultCode.CHUNK_CORRUPT
            )
        count = -(-manifest.size // max(manifest.chunk_size, 1))
        if manifest.chunk_size <= 0 or count != len(manifest.chunks):
            raise errors.WeightsError(
                "manifest: sizes do not agree",
                code=errors.ResultCode.CHUNK_CORRUPT,
            )
        return manifest


def build_manifest(blob: bytes, chunk_size: int) -> Manifest:
    """Compute the manifest of ``blob`` in chunks of ``chunk_size`` bytes."""
    view = memoryview(blob)
    return Manifest(
        size=len(blob),
        chunk_size=chunk_size,
        chunks=[
            hashlib.sha256(view[at : at + chunk_size]).hexdigest()
            for at in range(0, len(blob), chunk_size)
        ],
        content=hashlib.sha256(view).hexdigest(),
    )
