"""Bytes without end from a target in trouble, and streams that stall."""

import time
import tracemalloc

import eventlet
import pytest

from tests import endless as endless_source
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


class EndlessSocket(endless_source.EndlessSource):
    """Connection to a target that takes all and sends without end."""

    def __init__(self, start, block):
        super().__init__(start, block, give_up_s=10.0)
        self.fd = self

    def send(self, data):
        return len(data)

    def shutdown(self, how):
        pass

    def close(self):
        pass


STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
CHUNKED_STREAM_HEAD = STREAM_HEAD.replace(
    b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n"
)
FLOODS = {
    "blank lines": (STREAM_HEAD, b"\n" * 8192),
    "blank lines with returns": (STREAM_HEAD, b"\r\n" * 4096),
    "comments": (STREAM_HEAD, b":\n\n" * 2048),
    "smallest events": (STREAM_HEAD, b"a\n\n" * 2048),
    "repeated event": (STREAM_HEAD, b"id: 1\n\n" * 2048),
    "chunks of one byte": (CHUNKED_STREAM_HEAD, b"1\r\na\r\n" * 2048),
    "blank lines in chunks": (CHUNKED_STREAM_HEAD, b"1\r\n\n\r\n" * 2048),
    "interim answers": (b"", b"HTTP/1.1 100 \r\n\r\n" * 512),
    "body": (HEAD + b"\r\n", BLOCK),
}


@pytest.mark.parametrize("flood", FLOODS)
def test_flood_from_a_target_ends_and_leaves_others_their_turn(
    flood, monkeypatch
):
    """Guards against a target whose bytes stop the whole gateway."""
    start, block = FLOODS[flood]
    sockets = []
    connect = _target_connection.TargetConnection.connect

    def connect_or_flood(self, timeout_s):
        if self.address == system.targets[1].address:
            self.sock = EndlessSocket(start, block)
            sockets.append(self.sock)
        else:
            connect(self, timeout_s)

    monkeypatch.setattr(
        _target_connection.TargetConnection, "connect", connect_or_flood
    )
    routes = [
        *deploy.ROUTES,
        deploy.route("flood", kind="streaming", service="flood"),
    ]
    services = [
        {"name": "desk", "max_connections": 50},
        {"name": "flood", "max_connections": 50},
    ]
    system = deploy.Deployment()
    try:
        system.configure(
            deploy.configuration(routes=routes, services=services)
        )
        system.add_target(lambda e: e.answer(200, b"ok"))
        system.add_target(lambda e: None, service="flood")
        system.start()
        flooded = eventlet.spawn(
            system.ask, "/flood/x", X_Zinniadyke_Deadline_Ms="1000"
        )
        while not flooded.dead:
            assert system.ask("/once/x")[0] == 200
        status, _, _, complete = flooded.wait()
        assert status >= 500 or not complete
        assert sockets
        assert not any(sock.given_up for sock in sockets)
    finally:
        system.stop()


@pytest.mark.parametrize("size", [1, 2, 3, 5, 1000])
def test_splitter_gives_the_same_events_however_bytes_are_split(size):
    events = [
        b"id: 1\ndata: a\n\n",
        b"\n\n: comment\n\nid: 2\ndata: b\n\n",
        b"\r\n\r\n\r\nid: 3\r\ndata: c\r\n\r\n",
        b":x\n:y\n\n\ndata: d\n\n",
    ]
    data = b"".join(events) + b"\n\n: end"
    splitter = _events.EventSplitter()
    found = []
    for start in range(0, len(data), size):
        found += splitter.feed(data[start : start + size])
    assert found == events
    assert not splitter.within_event
    assert bytes(splitter.buffer) == b"\n\n: end"
    splitter.feed(b"\ndata: cut")
    assert splitter.within_event


def test_blank_lines_and_comments_count_towards_the_limit():
    for filler in (b"\n", b"\r\n", b":\n\n"):
        splitter = _events.EventSplitter()
        with pytest.raises(_events.EventTooLargeError):
            for _ in range(2 * _events.MAX_EVENT_BYTES // len(filler)):
                splitter.feed(filler)


def test_blank_lines_and_comments_of_a_stream_are_passed_on():
    """A body is returned as the target sent it."""
    parts = [b": hi\n\n", b"\n\nid: 1\ndata: a\n\n", b"\n: bye\n\n"]

    def script(exchange):
        stream_head(exchange)
        for part in parts:
            exchange.chunk(part)
        exchange.chunk(b"")

    with deploy.deployment(script) as system:
        status, _, body, complete = system.ask("/stream/x")
        assert (status, complete, body) == (200, True, b"".join(parts))


def test_stream_of_blank_lines_goes_on_elsewhere():
    """Guards against blank lines that count as events, thus as progress."""

    def blank(exchange):
        stream_head(exchange)
        exchange.chunk(b"id: 1\ndata: a\n\n")
        try:
            while True:
                eventlet.sleep(0.2)
                exchange.chunk(b"\n\n:\n\n")
        except OSError:
            return

    scripts = [blank, rest]

    def script(exchange):
        scripts.pop(0)(exchange)

    with deploy.deployment(script, script) as system:
        status, _, body, complete = system.ask("/stream/x")
        assert (status, complete) == (200, True)
        assert body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
