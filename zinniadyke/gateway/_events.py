"""Splits a stream of events, so that only whole ones are passed on."""

EVENT_END = b"\n\n"
EVENT_END_CRLF = b"\r\n\r\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Collects bytes until they make whole events.

    Attributes
    ----------
    remainder
        Bytes after the last whole event.
    """

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self.remainder = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that are whole now, in order."""
        self.remainder += data
        events = []
        while True:
            end = _end_of_event(self.remainder)
            if not end:
                return events
            events.append(self.remainder[:end])
            self.remainder = self.remainder[end:]


def event_number(event: bytes) -> int | None:
    """Return the number of an event; None when it bears none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None


def _end_of_event(data: bytes) -> int:
    """Return the length of the first event with its end; 0 if not whole."""
    ends = [
        at + len(mark)
        for mark in (EVENT_END, EVENT_END_CRLF)
        if (at := data.find(mark)) >= 0
    ]
    return min(ends, default=0)
