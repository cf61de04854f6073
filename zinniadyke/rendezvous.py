"""Rendezvous hashing: an order that all hosts compute alike."""

import hashlib

WEIGHT_BYTES = 8


def weight(*parts: str) -> bytes:
    """Return the weight of a combination of names."""
    joined = "/".join(parts).encode()
    return hashlib.blake2b(joined, digest_size=WEIGHT_BYTES).digest()


def rotate(items: list, by: int) -> list:
    """Return ``items`` rotated to the left."""
    if not items:
        return []
    by %= len(items)
    return items[by:] + items[:by]
