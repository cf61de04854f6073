"""Sets of piece indexes as bit strings."""

from collections.abc import Iterable


def encode_indexes(indexes: Iterable[int]) -> bytes:
    """Return a set of indexes; bit ``n`` stands for index ``n``."""
    bits = 0
    for index in indexes:
        bits |= 1 << index
    return bits.to_bytes(-(-bits.bit_length() // 8), "little")


def decode_indexes(data: bytes) -> set[int]:
    """Read a set of indexes."""
    bits = int.from_bytes(data, "little")
    return {n for n in range(bits.bit_length()) if bits >> n & 1}
