"""Splits an event stream, so that only complete events are relayed."""

import re

from zinniadyke import decimal_text

ID_FIELD = b"id:"
# Largest event, with the blank lines and comments before it; some hundred
# bytes are usual.
MAX_EVENT_BYTES = 65536
BLOCK_END = re.compile(rb"\n\n|\r\n\r\n")
# Bytes of an incomplete mark of a block's end.
MAX_CUT_OFF_MARK_BYTES = 3
# First byte of a line that is neither blank nor a comment.
FIELD = re.compile(rb"^[^:\r\n]", re.MULTILINE)


class EventTooLargeError(Exception):
    """An event exceeds the limit."""


class EventSplitter:
    """Buffers bytes until they form complete events.

    Blank lines and comments are no events (HTML standard, 9.2.6). They are
    kept and precede the next event, so that nothing of the stream is lost.

    Attributes
    ----------
    buffer
        Bytes after the last complete event.
    block_start
        Start of the block in the buffer that is not complete yet, which
        blank lines and comments may precede.
    searched_bytes
        Part of the buffer that was searched for the block's end.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.buffer = bytearray()
        self.block_start = 0
        self.searched_bytes = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events completed by ``data``, in order.

        The time is linear in the size of ``data``.

        Raises
        ------
        EventTooLargeError
            An event exceeds ``MAX_EVENT_BYTES``.
        """
        self.buffer += data
        events = []
        start = 0
        block_start = self.block_start
        search_from = max(
            self.searched_bytes - MAX_CUT_OFF_MARK_BYTES, block_start
        )
        for match in BLOCK_END.finditer(self.buffer, search_from):
            end = match.end()
            _check_size(end - start)
            if FIELD.search(self.buffer, block_start, end):
                events.append(bytes(self.buffer[start:end]))
                start = end
            block_start = end
        _check_size(len(self.buffer) - start)
        del self.buffer[:start]
        self.block_start = block_start - start
        self.searched_bytes = len(self.buffer)
        return events

    @property
    def within_event(self) -> bool:
        """Whether an event has begun and is not complete."""
        return FIELD.search(self.buffer, self.block_start) is not None


def event_number(event: bytes) -> int | None:
    """Return the numeric id of an event; None if it has none."""
    if ID_FIELD not in event:
        return None
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return decimal_text.parse_count(line[len(ID_FIELD) :])
    return None


def _check_size(size: int) -> None:
    if size > MAX_EVENT_BYTES:
        raise EventTooLargeError
