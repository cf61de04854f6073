"""Bytes without end from a target in trouble, and streams that stall."""

import time
import tracemalloc

import eventlet
import pytest

from tests.gateway import deployment as deploy
from zinniadyke.gateway import _events
from zinniadyke.gateway import _target_connection

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Zinniadyke-Request-Id: r1\r\n"
    b"X-Zinniadyke-Server-Stamp: s\r\n"
)
BLOCK = b"x" * 65536
# 50 targets that each send until they are cut off.
MEMORY_BOUND_BYTES = 64 << 20


def endless(start, block, exchange):
    """Send a start, then a block again and again until the caller closes."""
    try:
        exchange.send(start)
        while True:
            exchange.send(block)
            exchange.sent = getattr(exchange, "sent", 0) + len(block)
            eventlet.sleep(0)
    except OSError:
        exchange.cut = True


CASES = {
    "status line": (b"HTTP/1.1 200 ", BLOCK),
    "header line": (b"HTTP/1.1 200 OK\r\nX-Long: ", BLOCK),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n" * 4000),
    "informational answers": (b"", b"HTTP/1.1 102 Wait\r\n\r\n" * 3000),
    "chunk extension": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;e=",
        BLOCK,
    ),
    "trailers": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-More: 1\r\n" * 4000,
    ),
    "body without a length": (HEAD + b"\r\n", BLOCK),
    "chunked body": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + BLOCK + b"\r\n",
    ),
    "empty body of another size": (
        HEAD + b"Content-Length: 99999999999\r\n\r\n",
        BLOCK,
    ),
}


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("path", ["/once/x", "/stream-once/x"])
def test_endless_answer_is_broken_off(case, path):
    start, block = CASES[case]
    if path.startswith("/stream"):
        start = start.replace(
            b"Server-Stamp", b"Content-Type: text/event-stream\r\nX-Z"
        ).replace(b"X-Z: s", b"X-Zinniadyke-Server-Stamp: s")

    with deploy.deployment(lambda e: endless(start, block, e)) as system:
        status, _, _, _ = system.ask(path)
        assert status >= 500
        (exchange,) = system.targets[0].seen
        assert deploy.wait_until(lambda: getattr(exchange, "cut", False))
        # What the kernel's buffers hold comes on top of the limit.
        limit = _target_connection.MAX_BODY_BYTES + (16 << 20)
        assert exchange.sent < limit


def test_event_without_end_is_broken_off():
    start = (
        HEAD
        + b"Content-Type: text/event-stream\r\n"
        + b"Transfer-Encoding: chunked\r\n\r\n"
    )
    block = b"10000\r\n" + BLOCK + b"\r\n"

    def good(exchange):
        exchange.head(
            200,
            "Transfer-Encoding: chunked",
            Content_Type="text/event-stream",
        )
        exchange.chunk(b"id: 1\ndata: a\n\n")
        exchange.chunk(b"")

    scripts = [lambda e: endless(start, block, e), good]
    with deploy.deployment(
        lambda e: scripts.pop(0)(e), lambda e: scripts.pop(0)(e)
    ) as system:
        # The stream goes on at the other target.
        status, _, body, complete = system.ask("/stream/x")
        assert (status, complete) == (200, True)
        assert body == b"id: 1\ndata: a\n\n"


def test_memory_stays_bounded_with_fifty_endless_targets():
    start, block = CASES["body without a length"]
    scripts = [lambda e: endless(start, block, e)] * 50
    with deploy.deployment(*scripts) as system:
        tracemalloc.start()
        pool = eventlet.GreenPool(50)
        statuses = list(
            pool.imap(
                lambda n: system.ask("/once/x", X_Zinniadyke_Request_Id="r1")[
                    0
                ],
                range(50),
            )
        )
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
    assert min(statuses) >= 500
    assert peak < MEMORY_BOUND_BYTES
    assert system.gateway.memory.answers.held == 0


def test_splitter_refuses_an_event_over_the_limit():
    splitter = _events.EventSplitter()
    with pytest.raises(_events.EventTooLargeError):
        for _ in range(40):
            splitter.feed(b"data: " + b"x" * 4096)


def stream_head(exchange):
    exchange.head(
        200, "Transfer-Encoding: chunked", Content_Type="text/event-stream"
    )


def drip(exchange):
    """Send one event, then a byte of the next now and then."""
    stream_head(exchange)
    exchange.chunk(b"id: 1\ndata: a\n\n")
    try:
        while True:
            eventlet.sleep(0.2)
            exchange.chunk(b":")
    except OSError:
        return


def rest(exchange):
    stream_head(exchange)
    exchange.chunk(b"id: 2\ndata: b\n\n")
    exchange.chunk(b"")


def test_stalled_stream_that_drips_bytes_goes_on_elsewhere():
    scripts = [drip, rest]

    def script(exchange):
        scripts.pop(0)(exchange)

    with deploy.deployment(script, script) as system:
        status, _, body, complete = system.ask("/stream/x")
        assert (status, complete) == (200, True)
        assert body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        second = system.targets[0].seen + system.targets[1].seen
        assert any(e.headers.get("last-event-id") == "1" for e in second)


def test_dripping_stream_ends_by_the_deadline():
    with deploy.deployment(drip) as system:
        started = time.monotonic()
        _, _, body, complete = system.ask(
            "/stream-once/x", X_Zinniadyke_Deadline_Ms="1500"
        )
        assert not complete
        assert body == b"id: 1\ndata: a\n\n"
        # The route's timeout is 2 s.
        assert time.monotonic() - started < 4.0


def test_slow_stream_is_not_cut_while_nobody_else_can_go_on():
    def slow(exchange):
        stream_head(exchange)
        exchange.chunk(b"id: 1\ndata: a\n\n")
        eventlet.sleep(1.6)
        exchange.chunk(b"id: 2\ndata: b\n\n")
        exchange.chunk(b"")

    with deploy.deployment(slow) as system:
        status, _, body, complete = system.ask(
            "/stream/x", X_Zinniadyke_Deadline_Ms="1900"
        )
        assert (status, complete) == (200, True)
        assert body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
