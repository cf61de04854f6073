"""Answers without end, to the clients that read whole answers."""

import socket

import eventlet
from eventlet import greenio
import pytest
import urllib3
from urllib3.util import connection as urllib3_connection

from tests import endless as endless_source
from zinniadyke import bounded_http
from zinniadyke import errors
from zinniadyke import fakes
from zinniadyke import http_pools
from zinniadyke import platform
from zinniadyke.platform import _store
from zinniadyke.sidecar import _peer_client
from zinniadyke.sidecar import _pieces

BLOCK = b"x" * 65536
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def endless(start, block, pause_s=0.0):
    def script(exchange):
        try:
            exchange.send(start)
            while True:
                exchange.send(block)
                exchange.sent = getattr(exchange, "sent", 0) + len(block)
                eventlet.sleep(pause_s)
        except OSError:
            return

    return script


@pytest.fixture
def server():
    made = fakes.ScriptedTarget(script=lambda exchange: None)
    yield made
    made.stop()


def call(server, **options):
    host, _, port = server.address.rpartition(":")
    pool = urllib3.HTTPConnectionPool(host, int(port), retries=False)
    return bounded_http.request(
        pool,
        "GET",
        "/",
        timeout=urllib3.Timeout(connect=1.0, read=1.0),
        **{"max_bytes": 1 << 20, "total_s": 2.0, **options},
    )


def test_whole_answer_is_returned(server):
    server.script = lambda e: e.answer(200, b"whole", X_More="1")
    answer = call(server)
    assert (answer.status, answer.data) == (200, b"whole")
    assert answer.headers["x-more"] == "1"


@pytest.mark.parametrize(
    ("start", "block"),
    [
        (b"HTTP/1.1 200 ", BLOCK),
        (b"HTTP/1.1 200 OK\r\nX: ", BLOCK),
        (b"HTTP/1.1 200 OK\r\n", b"X: 1\r\n" * 5000),
        (b"HTTP/1.1 200 OK\r\n\r\n", BLOCK),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", BLOCK),
        (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
        (CHUNKED + b"1;e=", BLOCK),
        (CHUNKED + b"0\r\n", b"X: 1\r\n" * 5000),
    ],
)
def test_endless_answer_is_broken_off(server, start, block):
    server.script = endless(start, block)
    with pytest.raises(urllib3.exceptions.HTTPError):
        call(server, total_s=0.5)


def test_body_over_the_limit_is_broken_off_at_the_limit(server):
    server.script = endless(b"HTTP/1.1 200 OK\r\n\r\n", BLOCK)
    with pytest.raises(bounded_http.AnswerTooLargeError):
        call(server)
    # What the kernel's buffers hold comes on top of the limit.
    assert server.seen[0].sent < 16 << 20


@pytest.mark.parametrize(
    ("start", "block"),
    [
        (CHUNKED, b"1\r\nx\r\n"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    ],
)
def test_answer_that_drips_ends_with_the_total_time(server, start, block):
    """urllib3's own timeout starts anew with each byte."""
    server.script = endless(start, block, pause_s=0.1)
    with pytest.raises(bounded_http.AnswerTooSlowError):
        call(server, total_s=0.5)


def test_clients_report_it_as_their_own_failure(server, monkeypatch):
    server.script = endless(b"HTTP/1.1 200 OK\r\n\r\n", BLOCK)
    monkeypatch.setattr(_store, "MAX_ANSWER_BYTES", 1 << 20)
    with pytest.raises(errors.PlatformError):
        platform.StoreClient(address=server.address).list_objects("servers")
    with pytest.raises(errors.EngineError):
        platform.ModelServerClient(address=server.address).report(1)
    origin = platform.OriginClient(address=server.address, connections=1)
    with pytest.raises(errors.WeightsError):
        origin.piece("m", 1, 0)
    with pytest.raises(errors.WeightsError):
        origin.manifest("m", 1, piece_count=1)
    host, _, port = server.address.rpartition(":")
    peer = _peer_client.PeerClient(port=int(port))
    store = _pieces.PieceStore(model="m", version=1, digests=("0" * 64,))
    assert peer.digests(host, "m", 1, piece_count=1) is None
    assert (
        peer.piece(host, store, 0, size_bytes=8192, throttle=lambda size: None)
        is None
    )


class EndlessConnection(greenio.GreenSocket):
    """Connection to a server that takes all and sends without end."""

    def __init__(self, source):
        ours, self.theirs = socket.socketpair()
        super().__init__(ours)
        self.fd = endless_source.FloodedSocket(self.fd, source)

    def sendall(self, data, flags=0):
        pass


FLOODS = {
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 256),
    "other interim answers": (b"", b"HTTP/1.1 102 \r\nA: b\r\n\r\n" * 256),
    "status line": (b"HTTP/1.1 200 ", BLOCK),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X: 1\r\n" * 256),
    "header": (b"HTTP/1.1 200 OK\r\nX: ", BLOCK),
    "empty lines": (b"", b"\r\n" * 2048),
    "chunk extension": (CHUNKED + b"1;e=", BLOCK),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n" * 1024),
    "trailers": (CHUNKED + b"0\r\n", b"X: 1\r\n" * 256),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", BLOCK),
}


def flood_calls(flood, monkeypatch):
    """Have each call meet a flood; return its source."""
    source = endless_source.EndlessSource(*FLOODS[flood])
    monkeypatch.setattr(
        urllib3_connection,
        "create_connection",
        lambda *args, **options: EndlessConnection(source),
    )
    return source


def call_flooded(total_s):
    bounded_http.request(
        http_pools.connection_pool("127.0.0.1", 1, maxsize=1),
        "GET",
        "/",
        max_bytes=64 << 20,
        total_s=total_s,
        timeout=urllib3.Timeout(connect=1.0, read=1.0),
    )


@pytest.mark.parametrize("flood", FLOODS)
def test_flood_ends_and_leaves_others_their_turn(flood, monkeypatch):
    """Guards against a server whose bytes stop a whole process."""
    source = flood_calls(flood, monkeypatch)
    turns_of_others = []

    def other():
        while True:
            eventlet.sleep(0.01)
            turns_of_others.append(source.reads)

    task = eventlet.spawn(other)
    with pytest.raises(urllib3.exceptions.HTTPError):
        call_flooded(total_s=0.5)
    task.kill()
    assert not source.given_up
    if source.reads > 1000:
        assert len(turns_of_others) > 1


def test_interim_answers_count_towards_the_limit_of_a_head(monkeypatch):
    """Guards against interim answers that use a core until the time limit."""
    source = flood_calls("interim answers", monkeypatch)
    with pytest.raises(urllib3.exceptions.HTTPError, match="limit of 65536"):
        call_flooded(total_s=60.0)
    assert not source.given_up


@pytest.mark.parametrize("status", ["000", "042", "101", "600", "999"])
def test_answer_with_a_status_that_does_not_exist_is_refused(server, status):
    """Guards against an answer whose status is none (MIXED)."""
    server.script = lambda e: e.send(
        f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok".encode()
    )
    host, _, port = server.address.rpartition(":")
    pool = http_pools.connection_pool(host, int(port), maxsize=1)
    with pytest.raises(urllib3.exceptions.HTTPError, match="(?i)status"):
        bounded_http.request(pool, "GET", "/", max_bytes=100, total_s=2.0)


@pytest.mark.parametrize("status", [100, 102, 103, 199])
def test_interim_answer_does_not_stand_for_the_final_one(server, status):
    """Guards against a call that gets the answer of the one before it."""

    def script(exchange):
        exchange.send(f"HTTP/1.1 {status} Wait\r\nA: b\r\n\r\n".encode())
        exchange.answer(200, b"whole")

    server.script = script
    host, _, port = server.address.rpartition(":")
    pool = http_pools.connection_pool(host, int(port), maxsize=1)
    answer = bounded_http.request(pool, "GET", "/", max_bytes=100, total_s=2.0)
    assert (answer.status, answer.data) == (200, b"whole")


def test_call_does_not_get_the_answer_of_the_call_before(server):
    """Guards against a final answer that is left on a kept connection."""
    bodies = [b"first", b"second"]

    def script(exchange):
        exchange.send(b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
        exchange.answer(200, bodies.pop(0))

    server.script = script
    host, _, port = server.address.rpartition(":")
    pool = http_pools.connection_pool(host, int(port), maxsize=1)
    for body in (b"first", b"second"):
        answer = bounded_http.request(
            pool, "GET", "/", max_bytes=100, total_s=2.0
        )
        assert (answer.status, answer.data) == (200, body)
