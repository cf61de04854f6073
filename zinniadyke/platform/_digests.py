"""Checks the digests of a version's pieces, which come from other processes.

A corrupted answer can lack a digest and still be well-formed. Digests that are
only checked one by one would then describe incomplete weights.
"""

import re

from zinniadyke import errors

# SHA-256 in hexadecimal.
DIGEST = re.compile("[0-9a-f]{64}", re.IGNORECASE)


class PieceCountError(errors.WeightsError):
    """There are more or fewer digests than the configuration has pieces."""


def check_digests(digests: tuple[str, ...], piece_count: int) -> None:
    """Check that digests describe all pieces of a version.

    Parameters
    ----------
    piece_count
        Number of pieces in the configuration; 0 if it names none.

    Raises
    ------
    PieceCountError
        There are more or fewer digests than pieces.
    WeightsError
        A digest is malformed.
    """
    if not digests or piece_count not in (0, len(digests)):
        raise PieceCountError(
            f"{len(digests)} digests for {piece_count} pieces",
            code=errors.ResultCode.CHUNK_CORRUPT,
        )
    if not all(DIGEST.fullmatch(digest) for digest in digests):
        raise errors.WeightsError(
            "a digest that is not SHA-256 in hexadecimal",
            code=errors.ResultCode.CHUNK_CORRUPT,
        )
