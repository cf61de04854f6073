"""A target stops in the middle of the head of its answer and closes."""

import pytest

from tests.gateway import deployment as deploy
from zinniadyke import fakes
from zinniadyke.gateway import _memory_budget
from zinniadyke.gateway import _target_connection

SIGNED = (
    b"HTTP/1.1 200 OK\r\nX-Zinniadyke-Request-Id: r1\r\n"
    b"X-Zinniadyke-Server-Stamp: s\r\n"
)
HEADS = {
    "length": SIGNED + b"Content-Length: 1234\r\n\r\n",
    "chunked": SIGNED + b"Transfer-Encoding: chunked\r\n\r\n",
    "close": SIGNED + b"Content-Type: text/event-stream\r\n\r\n",
    "after an interim answer": (
        b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
        + SIGNED
        + b"Content-Length: 0\r\n\r\n"
    ),
}


@pytest.mark.parametrize("framing", HEADS)
# MIXED: an answer cut off in its head became a 200 with an empty body.
def test_head_cut_off_at_any_byte_is_no_answer(framing):
    head = HEADS[framing]
    cuts = iter(range(len(head)))
    target = fakes.ScriptedTarget(
        script=lambda exchange: exchange.send(head[: next(cuts)])
    )
    budget = _memory_budget.ProcessMemory(memory_mb=0.0).answers
    for _ in range(len(head)):
        connection = _target_connection.TargetConnection(
            address=target.address, method="POST", answers=budget
        )
        connection.connect(1.0)
        connection.send(b"POST / HTTP/1.1\r\n\r\n", b"", 1.0, 1.0)
        with pytest.raises(_target_connection.BrokenResponseError):
            connection.read_head(1.0)
        connection.close()
    target.stop()
    assert len(target.seen) == len(head)


@pytest.mark.parametrize("framing", HEADS)
@pytest.mark.parametrize("path", ["/once/x", "/stream-once/x"])
@pytest.mark.parametrize("missing", [1, 2, 4, 7, 30])
def test_caller_gets_no_success_from_a_head_that_is_cut_off(
    framing, path, missing
):
    head = HEADS[framing][:-missing]
    with deploy.deployment(lambda e: e.send(head)) as system:
        status, *_ = system.ask(path)
        assert len(system.targets[0].seen) == 1
    assert status == 502
