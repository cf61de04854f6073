"""Rendezvous hashing: every host computes the same order of names."""

import hashlib

WEIGHT_BYTES = 8


def weight(*parts: str) -> bytes:
    """Return the hash of a combination of names, as a sortable weight."""
    joined = "/".join(parts).encode()
    return hashlib.blake2b(joined, digest_size=WEIGHT_BYTES).digest()


def rotate(items: list, by: int) -> list:
    """Return ``items`` rotated left by ``by`` places."""
    if not items:
        return []
    by %= len(items)
    return items[by:] + items[:by]
