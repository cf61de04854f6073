"""Base of the typed messages between processes."""

import msgspec


class Message(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Base of all messages; the class name is the tag on the wire."""
