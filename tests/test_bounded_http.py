"""Answers without end, to the clients that read whole answers."""

import eventlet
import pytest
import urllib3

from zinniadyke import bounded_http
from zinniadyke import errors
from zinniadyke import fakes
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
