"""Bytes of targets mean the same however they are split."""

import hypothesis
from hypothesis import strategies

from zinniadyke.gateway import _events
from zinniadyke.gateway import _memory_budget
from zinniadyke.gateway import _target_connection

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)
STREAM_PARTS = [
    b"\n",
    b"\r\n",
    b"\n\n",
    b"\r\n\r\n",
    b"\r",
    b":",
    b": comment",
    b"id: 7",
    b"data: a",
    b"a",
]
STREAMS = strategies.lists(strategies.sampled_from(STREAM_PARTS)).map(b"".join)
SIZES = strategies.lists(strategies.integers(1, 9), min_size=1, max_size=9)
# The last of them have a body, framed in each of the three ways.
ANSWERS = [
    b"HTTP/1.1 204 No Content\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 503 Busy\r\nRetry-After: 0.3\r\nContent-Length: 4\r\n\r\nbusy",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3;a=b\r\nabc\r\n1\r\nd\r\n0\r\nTrailer: c\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nuntil the end",
    b"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok",
]
MUTATIONS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 200),
        strategies.sampled_from(
            [b"", b"\r", b"\n", b"\r\n", b"\0", b":", b" ", b"9", b"x"]
        ),
    ),
    max_size=3,
)


def pieces(data, sizes):
    """Return the bytes in pieces of these sizes, again and again."""
    found = []
    while data:
        size = sizes[len(found) % len(sizes)]
        found.append(data[:size])
        data = data[size:]
    return found


class PiecewiseSocket:
    """Connection from which some pieces are received, then its end."""

    def __init__(self, received):
        self.received = received
        self.fd = self

    def recv(self, size):
        return self.received.pop(0) if self.received else b""

    def close(self):
        """Ignore the end."""


def read_answer(received):
    """Return what a connection makes of the pieces it receives."""
    connection = _target_connection.TargetConnection(
        address="10.0.0.1:1",
        method="POST",
        answers=_memory_budget.MemoryBudget(limit_bytes=float("inf")),
    )
    connection.sock = PiecewiseSocket(received)
    try:
        connection.read_head(10.0)
        body = connection.read_body(10.0)
    except _target_connection.BrokenResponseError:
        return None
    finally:
        connection.close()
    return connection.status, connection.headers, body


@SETTINGS
@hypothesis.given(data=STREAMS, sizes=SIZES)
def test_events_are_the_same_however_a_stream_is_split(data, sizes):
    whole, split = _events.EventSplitter(), _events.EventSplitter()
    events = whole.feed(data)
    found = [e for p in pieces(data, sizes) for e in split.feed(p)]
    assert found == events
    assert split.buffer == whole.buffer
    assert split.within_event == whole.within_event
    assert b"".join(events) + whole.buffer == data
    for event in events:
        assert event.endswith((b"\n\n", b"\r\n\r\n"))
        assert _events.FIELD.search(event)


@SETTINGS
@hypothesis.given(
    answer=strategies.sampled_from(ANSWERS), changes=MUTATIONS, sizes=SIZES
)
def test_answers_are_the_same_however_they_are_split(answer, changes, sizes):
    for position, inserted in changes:
        at = position % len(answer)
        answer = answer[:at] + inserted + answer[at + bool(not inserted) :]
    assert read_answer(pieces(answer, sizes)) == read_answer([answer])
