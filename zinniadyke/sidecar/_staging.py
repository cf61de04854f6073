"""Stages the pieces of a version at the target and verifies them."""

import logging

from zinniadyke import errors
from zinniadyke import platform
from zinniadyke.sidecar import _pieces
from zinniadyke import uptime

LOG = logging.getLogger(__name__)

# Rounds of reading back and staging pieces before a load is given up.
MAX_VERIFY_ROUNDS = 5
# A piece may turn bad after it was read back; those that were read longer ago
# are read again before an order.
MAX_VERIFIED_AGE_S = 2.0


def stage_and_verify(
    target: platform.ModelServerClient, store: _pieces.PieceStore
) -> float:
    """Stage a version's pieces at the target until all read back correctly.

    Each round reads the staged pieces back and stages those that are
    missing or wrong; the first round thus stages the new version. A round
    that took too long, as this process may have stood still, is repeated.

    Returns
    -------
    float
        Uptime from which the age of what was verified counts, in seconds.

    Raises
    ------
    WeightsError
        Pieces are still corrupt after the last round.
    """
    verified = False
    for _ in range(MAX_VERIFY_ROUNDS):
        began_at = uptime.now_s()
        corrupt_pieces = [
            index
            for index in range(len(store.digests))
            if not store.matches(index, target.read_piece(store.model, index))
        ]
        verified = not corrupt_pieces
        if verified:
            if is_recent(began_at):
                return began_at
            continue
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
    if verified:
        # Reading takes that long, and weights that never load serve nobody.
        LOG.warning(
            "staged pieces are read back slowly",
            extra={"version": store.version},
        )
        return uptime.now_s()
    raise errors.WeightsError(code=errors.ResultCode.CHUNK_CORRUPT)


def is_recent(verified_since: float) -> bool:
    """Whether what was verified since then may still be ordered."""
    return uptime.now_s() - verified_since <= MAX_VERIFIED_AGE_S


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
