"""Encodes sets of piece indexes as bit strings."""

from collections.abc import Iterable


def encode_indexes(indexes: Iterable[int]) -> bytes:
    """Encode a set of indexes; bit ``n`` is set for index ``n``."""
    bits = 0
    for index in indexes:
        bits |= 1 << index
    return bits.to_bytes(-(-bits.bit_length() // 8), "little")


def decode_indexes(data: bytes) -> set[int]:
    """Decode a set of indexes."""
    bits = int.from_bytes(data, "little")
    return {n for n in range(bits.bit_length()) if bits >> n & 1}
