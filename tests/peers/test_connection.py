"""Timeouts of calls to a peer."""

import eventlet
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
