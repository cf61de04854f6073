"""Base class of the messages between processes."""

import msgspec


class Message(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Base class of all messages; the class name is the wire tag."""
