"""Splits an event stream, so that only complete events are relayed."""

from zinniadyke import decimal_text

EVENT_END = b"\n\n"
EVENT_END_CRLF = b"\r\n\r\n"
ID_FIELD = b"id:"
# Largest event; some hundred bytes are usual.
MAX_EVENT_BYTES = 65536


class EventTooLargeError(Exception):
    """An event exceeds the limit."""


class EventSplitter:
    """Buffers bytes until they form complete events.

    Attributes
    ----------
    remainder
        Bytes after the last complete event.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.remainder = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events completed by ``data``, in order.

        Raises
        ------
        EventTooLargeError
            An event exceeds ``MAX_EVENT_BYTES``.
        """
        self.remainder += data
        events = []
        while True:
            end = _end_of_event(self.remainder)
            if end > MAX_EVENT_BYTES or (
                not end and len(self.remainder) > MAX_EVENT_BYTES
            ):
                raise EventTooLargeError
            if not end:
                return events
            events.append(self.remainder[:end])
            self.remainder = self.remainder[end:]


def event_number(event: bytes) -> int | None:
    """Return the numeric id of an event; None if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return decimal_text.parse_count(line[len(ID_FIELD) :])
    return None


def _end_of_event(data: bytes) -> int:
    """Return the length of the first complete event; 0 if there is none."""
    ends = [
        at + len(mark)
        for mark in (EVENT_END, EVENT_END_CRLF)
        if (at := data.find(mark)) >= 0
    ]
    return min(ends, default=0)
