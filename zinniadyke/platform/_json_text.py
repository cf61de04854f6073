"""Splits JSON texts of which a part may be unreadable, without recursion."""

from collections.abc import Mapping
import re

import msgspec

# A string is one token, as brackets and commas in it do not count. One without
# an end takes the rest of the text, which would else be searched again for
# each quote in it.
_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"?|[\[\]{},:]', re.DOTALL)


def split_elements(text: bytes) -> list[bytes]:
    """Return the texts of an array's elements.

    Raises
    ------
    ValueError
        The text is not an array.
    """
    return [element for _, element in _split(text, b"[", b"]")]


def split_members(text: bytes) -> dict[str, bytes]:
    """Return the texts of an object's values by name.

    Raises
    ------
    ValueError, MsgspecError
        The text is not an object, or a name is unreadable.
    """
    return {
        msgspec.json.decode(name, type=str): value
        for name, value in _split(text, b"{", b"}")
    }


def join_members(members: Mapping[str, bytes]) -> bytes:
    """Return the text of an object, as :func:`split_members` takes it."""
    return b"{%b}" % b",".join(
        b"%b:%b" % (msgspec.json.encode(name), value)
        for name, value in members.items()
    )


def _split(
    text: bytes, opening: bytes, closing: bytes
) -> list[tuple[bytes, bytes]]:
    """Return what stands before and after the first colon of each part."""
    text = text.strip()
    if text[:1] != opening or text[-1:] != closing:
        raise ValueError(f"not within {opening!r} and {closing!r}")
    parts = []
    depth, start, colon = 0, 1, None
    for match in _TOKEN.finditer(text):
        token, at = match[0], match.start()
        depth += (token in (b"[", b"{")) - (token in (b"]", b"}"))
        if token == b":" and depth == 1 and colon is None:
            colon = at
        if depth == 0 or (token == b"," and depth == 1):
            value_at = start if colon is None else colon + 1
            part = (text[start:colon].strip(), text[value_at:at].strip())
            if part[1]:
                parts.append(part)
            start, colon = at + 1, None
        if depth == 0:
            break
    if start != len(text):
        raise ValueError("brackets do not match")
    return parts
