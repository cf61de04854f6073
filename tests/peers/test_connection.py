"""Timeouts of calls to a peer."""

import eventlet
from eventlet.green import zmq
from eventlet import patcher
import pytest

from zinniadyke import errors
from zinniadyke import peers
from zinniadyke.peers import _connection

# Blocks the whole process, as a suspended process or a busy core would.
block_process = patcher.original("time").sleep


def receive(call: _connection.Call):
    return eventlet.spawn(call.receive, 0.05)


def test_stalled_process_reads_waiting_answers_before_it_times_out():
    call = _connection.Call(call_id=1)
    waiting = receive(call)
    eventlet.sleep(0)
    block_process(0.3)
    eventlet.spawn_after(0.05, call.answers.put, (peers.GetStatus(), b""))
    assert waiting.wait() == (peers.GetStatus(), b"")


def test_call_to_silent_peer_times_out_with_and_without_a_stall():
    for blocked_s in (0, 0.3):
        call = _connection.Call(call_id=1)
        waiting = receive(call)
        eventlet.sleep(0)
        block_process(blocked_s)
        with pytest.raises(errors.PeerTimeoutError):
            waiting.wait()


def starve_process():
    """Make each turn of the event loop take long, as on a busy host."""
    while True:
        block_process(0.3)
        eventlet.sleep(0)


def test_starved_process_does_not_take_a_peer_for_silent():
    """An answer needs several turns, of which no single one is very late."""
    context = zmq.Context()
    server = peers.PeerServer(context=context, address="127.0.0.1:0")
    server.register_handler(
        peers.GetStatus, lambda inbound: inbound.reply(peers.GetStatus())
    )
    server.start()
    connection = peers.PeerConnection(context=context, address=server.address)
    connection.send_and_receive(peers.GetStatus(), 2.0)
    starving = eventlet.spawn(starve_process)
    try:
        for _ in range(5):
            connection.send_and_receive(peers.GetStatus(), 0.5)
        # A silent peer is noticed all the same.
        server.handlers[peers.GetStatus] = lambda inbound: None
        with pytest.raises(errors.PeerTimeoutError):
            connection.send_and_receive(peers.GetStatus(), 0.5)
    finally:
        starving.kill()
        connection.close()
        server.stop()
        context.destroy(linger=0)


def test_killed_close_leaves_no_open_socket():
    """A task that is killed while it closes a connection closes the socket.

    Closing the connection kills its reader, which yields. A socket that is
    still open then makes the termination of its context wait forever.
    """
    context = zmq.Context()
    connection = peers.PeerConnection(
        context=context, address="127.0.0.1:12000"
    )
    eventlet.sleep(0)
    closing = eventlet.spawn(connection.close)
    # The hub runs this after close() has killed the reader and yielded.
    eventlet.spawn_after(0, closing.kill)
    eventlet.sleep(0)
    eventlet.sleep(0)
    assert connection.closed
    assert connection.socket.closed
    context.destroy(linger=0)


def test_stop_of_a_killed_task_closes_the_server_socket():
    """A task that is killed while it stops a server closes the socket."""
    context = zmq.Context()
    server = peers.PeerServer(context=context, address="127.0.0.1:0")
    server.start()
    eventlet.sleep(0)
    stopping = eventlet.spawn(server.stop)
    eventlet.spawn_after(0, stopping.kill)
    eventlet.sleep(0)
    eventlet.sleep(0)
    assert server.socket.closed
    context.destroy(linger=0)
