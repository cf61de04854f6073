"""Bytes that never cease must not keep others from running."""

import functools
import itertools
import time

import eventlet
import pytest

from tests import endless
from tests.gateway import deployment as deploy
from zinniadyke import green_sockets
from zinniadyke import listening
from zinniadyke import turns


class TooSlowError(Exception):
    """The time limit of a reader."""


READERS = {
    "bytes": lambda source: source.recv(1400),
    "buffer": lambda source: source.recv_into(bytearray(1400)),
    "datagrams": lambda source: source.recvfrom(1400),
}


def read_forever(source, reader="bytes"):
    while True:
        green_sockets.receive(
            None, functools.partial(READERS[reader], source), timeout_s=1.0
        )


@pytest.mark.parametrize("reader", READERS)
def test_time_limit_ends_a_read_that_never_waits(reader):
    """Guards against a flood that holds the processor past each limit."""
    source = endless.EndlessSource()
    with pytest.raises(TooSlowError), eventlet.Timeout(0.1, TooSlowError()):
        read_forever(source, reader)


def test_others_run_while_bytes_never_cease():
    """Guards against a flood that stops all other green threads."""
    source = endless.EndlessSource()
    reads_at_turns = []

    def other():
        while True:
            reads_at_turns.append(source.reads)
            eventlet.sleep(0)

    task = eventlet.spawn(other)
    with pytest.raises(TooSlowError), eventlet.Timeout(0.1, TooSlowError()):
        read_forever(source)
    task.kill()
    gaps = [b - a for a, b in itertools.pairwise(reads_at_turns)]
    assert len(gaps) > 10
    assert max(gaps) * 1400 <= turns.TURN_BYTES + 1400


def test_slow_handling_of_small_messages_ends_a_turn_too():
    source = endless.EndlessSource()
    with pytest.raises(TooSlowError), eventlet.Timeout(0.1, TooSlowError()):
        while True:
            green_sockets.receive(
                None, functools.partial(source.recv, 1), timeout_s=1.0
            )
            busy_until = time.monotonic() + turns.TURN_S
            while time.monotonic() < busy_until:
                pass
    assert source.reads < 100


def test_no_turn_is_given_while_little_is_received(monkeypatch):
    """A switch for each read would cost each request processor time."""
    switches = []
    monkeypatch.setattr(turns.eventlet, "sleep", switches.append)
    monkeypatch.setattr(turns, "TURN_S", 60.0)
    source = endless.EndlessSource()
    for _ in range(turns.TURN_BYTES // 100):
        green_sockets.receive(
            None, functools.partial(source.recv, 100), timeout_s=1.0
        )
    assert switches == []
    turns.end()


def test_accepted_connection_is_read_in_turns():
    """Guards against a body without end that a server discards."""
    listener = listening.listen("127.0.0.1:0")
    client = eventlet.connect(listener.getsockname())
    accepted, _ = listener.accept()
    accepted.fd = endless.FloodedSocket(accepted.fd, endless.EndlessSource())
    with pytest.raises(TooSlowError), eventlet.Timeout(0.1, TooSlowError()):
        while True:
            accepted.recv_into(bytearray(1))
    for sock in (client, accepted, listener):
        sock.close()


def test_bytes_after_the_last_request_do_not_stop_a_gateway():
    """Guards against a caller that floods a connection that is to end."""
    with deploy.deployment(lambda e: e.answer(200, b"ok")) as system:
        flood = system.connect()
        flood.sendall(b"not HTTP\r\n\r\n")
        assert deploy.wait_until(lambda: system.gateway.callers)
        (caller,) = system.gateway.callers
        assert deploy.wait_until(lambda: caller.parser.ended)
        source = endless.EndlessSource()
        caller.sock.fd = endless.FloodedSocket(caller.sock.fd, source)
        flood.sendall(b"x")
        assert deploy.wait_until(lambda: source.reads)
        assert system.ask("/once/x")[0] == 200
        assert not source.given_up
        flood.close()
