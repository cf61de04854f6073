"""The agent's client of an engine that misbehaves on its connections."""

import eventlet
import pytest

from tests.gateway import deployment as deploy
from zinniadyke import engine
from zinniadyke.engine import _client
from zinniadyke import errors
from zinniadyke import fakes
from zinniadyke import ids
from zinniadyke import origin
from zinniadyke.origin import _client as origin_client

LATE_S = 0.05
ANSWER = b"HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%b"


class RepeatingEngine:
    """Refuses the first request, and does so again during the next one."""

    def __init__(self, status):
        self.refusal = ANSWER % (status, 4, b"full")
        self.refused = False
        self.socket = eventlet.listen(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.socket.getsockname()[1]}"
        self.task = eventlet.spawn(self.accept)

    def accept(self):
        while True:
            sock, _ = self.socket.accept()
            eventlet.spawn_n(self.serve, sock)

    def serve(self, sock):
        refused_here = False
        while sock.recv(65536):
            if not self.refused:
                self.refused = refused_here = True
                sock.sendall(self.refusal)
                continue
            eventlet.sleep(LATE_S)
            if refused_here:
                sock.sendall(self.refusal)
                eventlet.sleep(LATE_S)
            sock.sendall(ANSWER % (200, 3, b"ran"))

    def stop(self):
        self.task.kill()
        self.socket.close()


@pytest.mark.parametrize("status", [429, 503])
def test_repeated_refusal_is_not_taken_for_another_requests_answer(status):
    server = RepeatingEngine(status)
    client = engine.EngineClient(url=server.url)
    answers = []
    for _ in range(2):
        made = client.run("POST", "/x", {}, b"text", 5.0)
        answers.append((made.status, b"".join(made.parts)))
        made.close()
    server.stop()
    assert answers == [(status, b"full"), (200, b"ran")]


def cut_off(head, missing):
    """Return a client of an engine that closes in the middle of a head."""
    server = fakes.ScriptedTarget(
        script=lambda exchange: exchange.send(head[: len(head) - missing])
    )
    return server, engine.EngineClient(url=f"http://{server.address}")


# MIXED, ORDER: such an answer became a 200 with an empty or short body.
@pytest.mark.parametrize("missing", range(1, 65))
@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
        b"Content-Length: 1234\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
    ],
    ids=["length", "chunked"],
)
def test_answer_whose_head_is_cut_off_is_none(head, missing):
    server, client = cut_off(head, missing)
    with pytest.raises(errors.EngineError) as caught:
        made = client.run("POST", "/x", {}, b"text", 5.0)
        b"".join(made.parts)
    server.stop()
    assert caught.value.code is errors.ResultCode.OUTCOME_UNKNOWN


@pytest.mark.parametrize("missing", [1, 2, 4, 10])
def test_order_whose_answer_is_cut_off_has_not_succeeded(missing):
    server, client = cut_off(
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", missing
    )
    with pytest.raises(errors.EngineError):
        client.load("m/1", [b"text"], 4, ids.FencingNumber(1))
    server.stop()


# MIXED: a body ended by a reset was taken for a whole, short one.
def test_answer_that_ends_by_a_reset_is_incomplete():
    def script(exchange):
        exchange.send(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nbeg"
        )
        eventlet.sleep(LATE_S)
        exchange.reset()

    server = fakes.ScriptedTarget(script=script)
    client = engine.EngineClient(url=f"http://{server.address}")
    made = client.run("POST", "/x", {}, b"text", 5.0)
    received = []
    with pytest.raises(errors.EngineError) as caught:
        received.extend(made.parts)
    server.stop()
    assert caught.value.code is errors.ResultCode.STREAM_BROKEN


def test_answer_without_a_length_may_end_with_its_connection():
    server = fakes.ScriptedTarget(
        script=lambda exchange: exchange.send(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nwhole"
        )
    )
    client = engine.EngineClient(url=f"http://{server.address}")
    made = client.run("POST", "/x", {}, b"text", 5.0)
    assert b"".join(made.parts) == b"whole"
    server.stop()


def test_silent_engine_is_noticed_in_time():
    server = fakes.ScriptedTarget(script=lambda exchange: eventlet.sleep(2.0))
    client = engine.EngineClient(url=f"http://{server.address}")
    with pytest.raises(errors.EngineError, match="timed out"):
        client.run("POST", "/x", {}, b"text", 0.1)
    server.stop()


@pytest.mark.parametrize("status", ["000", "600", "999"])
def test_status_that_does_not_exist_is_no_answer(status):
    """Guards against an answer whose status is none, as 000 (MIXED)."""
    server = fakes.ScriptedTarget(
        script=lambda e: e.send(
            f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok".encode()
        )
    )
    client = engine.EngineClient(url=f"http://{server.address}")
    with pytest.raises(errors.EngineError) as failure:
        client.run("POST", "/x", {}, b"text", 5.0)
    server.stop()
    assert failure.value.code is errors.ResultCode.OUTCOME_UNKNOWN


def endless(exchange):
    """Send a body without end."""
    exchange.head(200)
    try:
        while True:
            exchange.send(b"x" * 65536)
            exchange.sent = getattr(exchange, "sent", 0) + 65536
            eventlet.sleep(0)
    except OSError:
        exchange.cut = True


def check_cut(server):
    """Check that an endless answer was cut off at its limit."""
    assert deploy.wait_until(lambda: getattr(server.seen[0], "cut", False))
    # What the kernel's buffers hold comes on top of the limit.
    assert server.seen[0].sent < 24 << 20


def test_answer_without_end_is_broken_off_at_the_limit():
    """Guards against an engine that fills the memory of agent and entry."""
    server = fakes.ScriptedTarget(script=endless)
    client = engine.EngineClient(url=f"http://{server.address}")
    made = client.run("POST", "/x", {}, b"text", 5.0)
    size = 0
    with pytest.raises(errors.EngineError) as failure:
        for part in made.parts:
            size += len(part)
    assert failure.value.code is errors.ResultCode.STREAM_BROKEN
    assert size <= _client.MAX_ANSWER_BYTES
    check_cut(server)
    server.stop()


def test_state_and_order_without_end_are_broken_off():
    for call in (
        lambda client: client.state(),
        lambda client: client.load("m/1", [b"x"], 1, ids.FencingNumber(1)),
    ):
        server = fakes.ScriptedTarget(script=endless)
        client = engine.EngineClient(url=f"http://{server.address}")
        with pytest.raises(errors.EngineError, match="limit of"):
            call(client)
        check_cut(server)
        server.stop()


@pytest.mark.parametrize("size", [None, 1000])
def test_object_of_the_origin_without_end_is_broken_off(size, monkeypatch):
    monkeypatch.setattr(origin_client, "MAX_OBJECT_BYTES", 1 << 20)
    server = fakes.ScriptedTarget(script=endless)
    client = origin.OriginClient()
    with pytest.raises(errors.WeightsError, match="limit of"):
        client.read(f"http://{server.address}/m", size=size)
    check_cut(server)
    server.stop()
