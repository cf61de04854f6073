"""Stages the pieces of a version at the target and verifies them."""

import logging

from zinniadyke import errors
from zinniadyke import platform
from zinniadyke.sidecar import _pieces

LOG = logging.getLogger(__name__)

# Rounds of reading back and staging pieces before a load is given up.
MAX_VERIFY_ROUNDS = 5


def stage_and_verify(
    target: platform.ModelServerClient, store: _pieces.PieceStore
) -> None:
    """Stage a version's pieces at the target until all read back correctly.

    Each round reads the staged pieces back and stages those that are
    missing or wrong; the first round thus stages the new version.

    Raises
    ------
    WeightsError
        Pieces are still corrupt after the last round.
    """
    for _ in range(MAX_VERIFY_ROUNDS):
        corrupt_pieces = [
            index
            for index in range(len(store.digests))
            if not store.matches(index, target.read_piece(store.model, index))
        ]
        if not corrupt_pieces:
            return
        target.replace_connections()
        LOG.info(
            "staged pieces corrupt or missing, staging them again",
            extra={
                "version": store.version,
                "pieces": len(corrupt_pieces),
            },
        )
        for index in corrupt_pieces:
            target.stage_piece(store.model, index, store.pieces[index])
    raise errors.WeightsError(code=errors.ResultCode.CHUNK_CORRUPT)


def reuse_staged(
    target: platform.ModelServerClient, store: _pieces.PieceStore
) -> None:
    """Add the pieces already staged at the target if they match."""
    try:
        held = target.staged_pieces(store.model)
        for index in sorted(held & set(store.missing)):
            store.add(index, target.read_piece(store.model, index))
    except errors.EngineError as error:
        LOG.warning(
            "cannot read staged pieces", extra={"reason": error.message}
        )
