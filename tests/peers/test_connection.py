"""Time-outs of calls to a peer."""

import eventlet
from eventlet import patcher
import pytest

from zinniadyke import errors
from zinniadyke import peers
from zinniadyke.peers import _connection

# Blocks the whole process, as a freeze or a full core would.
freeze = patcher.original("time").sleep


def receive(call: _connection.Call):
    return eventlet.spawn(call.receive, 0.05)


def test_a_frozen_process_reads_what_came_before_it_gives_up():
    call = _connection.Call(call_id=1)
    waiting = receive(call)
    eventlet.sleep(0)
    freeze(0.3)
    eventlet.spawn_after(0.05, call.answers.put, (peers.GetStatus(), b""))
    assert waiting.wait() == (peers.GetStatus(), b"")


def test_a_silent_peer_is_given_up_in_time_and_after_a_freeze():
    for frozen_s in (0, 0.3):
        call = _connection.Call(call_id=1)
        waiting = receive(call)
        eventlet.sleep(0)
        freeze(frozen_s)
        with pytest.raises(errors.PeerTimeoutError):
            waiting.wait()
