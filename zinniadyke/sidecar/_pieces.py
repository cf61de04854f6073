"""Pieces of a version being fetched, verified by digest."""

import hashlib
import time

from zinniadyke import directory
from zinniadyke import ids


class PieceStore:
    """Verified pieces of one version of a model.

    Attributes
    ----------
    completed_at
        Monotonic time at which the last missing piece was added; None
        before. Kept when pieces are released from memory.
    changed
        Wakes tasks that wait for a piece or a free request.
    """

    def __init__(
        self,
        *,
        model: ids.ModelName,
        version: ids.WeightsVersion,
        digests: tuple[str, ...],
    ) -> None:
        """Start without pieces."""
        self.model = model
        self.version = version
        self.digests = digests
        self.pieces: dict[int, bytes] = {}
        self.changed = directory.Signal()
        self.completed_at: float | None = None

    def add(self, index: int, piece: bytes) -> bool:
        """Add a piece if its digest matches; return whether it does."""
        if not self.matches(index, piece):
            return False
        self.pieces[index] = piece
        if not self.missing:
            self.completed_at = time.monotonic()
        self.changed.send()
        return True

    def matches(self, index: int, piece: bytes | None) -> bool:
        """Whether bytes match the digest of piece ``index``."""
        if piece is None:
            return False
        return hashlib.sha256(piece).hexdigest() == self.digests[index]

    def reuse_pieces(self, older: "PieceStore") -> None:
        """Copy pieces with the same digest from another store."""
        by_digest = {
            older.digests[index]: piece
            for index, piece in older.pieces.items()
        }
        for index, digest in enumerate(self.digests):
            if digest in by_digest:
                self.pieces[index] = by_digest[digest]
        if not self.missing:
            self.completed_at = time.monotonic()

    @property
    def missing(self) -> list[int]:
        """Indexes of the pieces that the store does not have."""
        return [n for n in range(len(self.digests)) if n not in self.pieces]
