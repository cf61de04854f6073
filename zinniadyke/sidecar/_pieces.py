"""Pieces of the version that is being brought, checked by digest."""

import hashlib
import time

from zinniadyke import directory
from zinniadyke import ids


class PieceStore:
    """Checked pieces of one version of a model.

    Attributes
    ----------
    whole_at
        Monotonic time at which the last piece came; None before. It stays
        when pieces are forgotten.
    changed
        Wakes those who wait for a piece.
    """

    def __init__(
        self,
        *,
        model: ids.ModelName,
        version: ids.WeightsVersion,
        digests: tuple[str, ...],
    ) -> None:
        """Start with no piece."""
        self.model = model
        self.version = version
        self.digests = digests
        self.pieces: dict[int, bytes] = {}
        self.changed = directory.Signal()
        self.completed_at: float | None = None

    def add(self, index: int, piece: bytes) -> bool:
        """Take a piece if it is the right one; whether it was."""
        if not self.matches(index, piece):
            return False
        self.pieces[index] = piece
        if not self.missing:
            self.completed_at = time.monotonic()
        self.changed.send()
        return True

    def matches(self, index: int, piece: bytes | None) -> bool:
        """Whether bytes are the piece ``index``."""
        if piece is None:
            return False
        return hashlib.sha256(piece).hexdigest() == self.digests[index]

    def reuse_pieces(self, older: "PieceStore") -> None:
        """Take over the pieces that two versions have in common."""
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
        """Indexes of the pieces that are not there."""
        return [n for n in range(len(self.digests)) if n not in self.pieces]
