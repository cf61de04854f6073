"""Callers and targets that read slowly, and more bodies than memory."""

import socket
import time

import eventlet
import pytest

from tests.gateway import deployment as deploy
from zinniadyke import directory
from zinniadyke import errors
from zinniadyke.gateway import _caller_writer
from zinniadyke.gateway import _memory_budget
from zinniadyke.gateway import _request_parser
from zinniadyke.gateway import _target_connection

MB = 1_000_000
BODY = b"b" * MB
ANSWER = b"a" * (3 * MB)
SMALL_BUFFER_BYTES = 65536
# The routes' objective is 0.3 s and they have no gap, so 2 s count.
STALL_S = 2.0
EVENT = b"id: %d\ndata: " + b"e" * 1000 + b"\n\n"
SPEC = deploy.configuration(
    limits={
        "max_header_bytes": 2000,
        "max_body_bytes": 4 * MB,
        "header_timeout_ms": 500,
        "idle_timeout_ms": 3000,
    },
    routes=[
        deploy.route("once", timeout_ms=3000),
        deploy.route("again", kind="idempotent", timeout_ms=3000),
        deploy.route("stream-once", kind="streaming", timeout_ms=3000),
    ],
)


def send_request(system, path):
    """Send a request from a socket with a small receive buffer."""
    host, _, port = system.gateway.settings.listen.requests.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.settimeout(10.0)
    sock.connect((host, int(port)))
    sock.sendall(
        f"POST {path} HTTP/1.1\r\nHost: h.example\r\n"
        "X-Zinniadyke-Request-Id: r1\r\nX-Zinniadyke-Deadline-Ms: 3000\r\n"
        f"X-Zinniadyke-Key: {deploy.KEY}\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n".encode()
    )
    return sock


def free_again(system):
    return deploy.wait_until(
        lambda: (
            system.gateway.memory.total.held == 0
            and not any(
                s.in_flight
                for s in system.gateway.target_table.states.values()
            )
        )
    )


def endless_stream(exchange):
    exchange.head(
        200, "Transfer-Encoding: chunked", Content_Type="text/event-stream"
    )
    number = 0
    try:
        while True:
            number += 1
            exchange.chunk(EVENT % number)
            eventlet.sleep(0)
    except OSError:
        exchange.cut_at = time.monotonic()


def test_caller_that_reads_nothing_frees_the_target_and_the_memory():
    with deploy.deployment(endless_stream, spec=SPEC) as system:
        started_at = time.monotonic()
        sock = send_request(system, "/stream-once/x")
        held = []

        def cut():
            held.append(system.gateway.memory.total.held)
            return hasattr(system.targets[0].seen[0], "cut_at")

        assert deploy.wait_until(lambda: system.targets[0].seen)
        assert deploy.wait_until(cut, timeout_s=3 * STALL_S)
        took_s = system.targets[0].seen[0].cut_at - started_at
        assert STALL_S <= took_s < 2 * STALL_S
        # One part of the stream may come on top.
        bound = _caller_writer.MAX_UNSENT_BYTES
        assert 0 < max(held) < 2 * bound
        assert free_again(system)
        sock.close()


@pytest.mark.parametrize("path", ["/once/x", "/stream-once/x"])
def test_slow_caller_gets_all_and_holds_no_slot_meanwhile(path):
    """An answer is delivered late, beyond the deadline of 3 s."""

    def whole(exchange):
        exchange.answer(200, ANSWER)

    def events(exchange):
        exchange.head(
            200, "Transfer-Encoding: chunked", Content_Type="text/event-stream"
        )
        for number in range(200):
            exchange.chunk(EVENT % number)
        exchange.chunk(b"")

    script, size = (whole, len(ANSWER))
    if path.startswith("/stream"):
        script, size = (events, 200 * len(EVENT))
    with deploy.deployment(script, spec=SPEC) as system:
        # Accepted sockets inherit it; otherwise the kernel takes it all.
        system.gateway.requests_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
        )
        sock = send_request(system, path)
        (state,) = system.gateway.target_table.states.values()
        assert deploy.wait_until(lambda: system.targets[0].seen)
        assert deploy.wait_until(lambda: state.in_flight == 0, timeout_s=1.0)
        started_at = time.monotonic()
        received = 0
        while data := sock.recv(size // 40):
            received += len(data)
            eventlet.sleep(0.1)
        assert received > size
        assert time.monotonic() - started_at > 3.5
        assert free_again(system)


def test_writer_takes_slow_acknowledgements_for_progress():
    """A full socket buffer is writable only when a third of it is free."""
    listener = socket.create_server(("127.0.0.1", 0))
    receiver = eventlet.green.socket.socket()
    receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    receiver.connect(listener.getsockname())
    sender, _ = listener.accept()
    sender.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * MB)
    sender = eventlet.greenio.GreenSocket(sender)
    gone = []
    budget = _memory_budget.MemoryBudget(limit_bytes=float("inf"))
    writer = _caller_writer.CallerWriter(
        sock=sender, memory=budget, on_gone=lambda: gone.append(True)
    )
    writer.stall_s = 0.4
    writer.write(b"x" * (20 * MB))
    unsent_bytes = writer.unsent_bytes
    assert unsent_bytes > 0
    for _ in range(20):
        receiver.recv(20000)
        eventlet.sleep(0.1)
    assert not gone
    # It takes no more, so it is abandoned.
    assert deploy.wait_until(lambda: gone, timeout_s=2.0)
    assert budget.held == 0
    with pytest.raises(_caller_writer.CallerGoneError):
        writer.flush()
    for sock in (sender, receiver, listener):
        sock.close()


def unread_target(system, name="deaf"):
    """Register a target that accepts connections and reads nothing."""
    listener = socket.socket()
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
    )
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    host, port = listener.getsockname()
    system.store.put(
        "servers",
        name,
        {
            "service": "desk",
            "address": f"{host}:{port}",
            "zone": "z1",
            "slots": 4,
            "version": "v1",
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
        },
    )
    assert deploy.wait_until(lambda: name in system.gateway.view.targets)
    return listener


def test_target_that_does_not_take_a_body_is_left_for_another():
    with deploy.deployment(spec=SPEC) as system:
        listener = unread_target(system)
        # Beyond what the kernel takes for the target.
        body = BODY * 4
        status, headers, _, _ = system.ask("/once/x", body=body)
        # Its outcome is unknown, as a part of it was sent.
        assert status in (502, 504)
        code = int(headers["Zinniadyke-Code"])
        assert errors.ResultCode.from_number(code).ran is errors.Ran.UNKNOWN
        system.add_target(lambda e: e.answer(200, b"%d" % len(e.body)))
        assert deploy.wait_until(lambda: "t1" in system.gateway.view.targets)
        for _ in range(4):
            started_at = time.monotonic()
            status, _, answer, _ = system.ask("/again/x", body=body)
            assert (status, answer) == (200, b"%d" % len(body))
            assert time.monotonic() - started_at < 3.0
        assert free_again(system)
        listener.close()


def test_request_of_which_nothing_was_sent_is_not_run():
    """A slow target's socket that takes no byte proves it."""
    sender, receiver = socket.socketpair()
    sender = eventlet.greenio.GreenSocket(sender)
    with pytest.raises(BlockingIOError):
        while True:
            sender.fd.send(BODY)
    connection = _target_connection.TargetConnection(
        address="",
        method="POST",
        answers=_memory_budget.ProcessMemory().answers,
    )
    connection.sock = sender
    with pytest.raises(_target_connection.SilentTargetError):
        connection.send(b"head", BODY, stall_s=0.1, timeout_s=1.0)
    assert not connection.sent
    receiver.recv(MB)
    with pytest.raises(_target_connection.SilentTargetError):
        connection.send(b"head", BODY, stall_s=0.1, timeout_s=1.0)
    assert connection.sent
    receiver.close()


def test_bodies_beyond_the_memory_are_refused_and_others_run():
    def slow(exchange):
        eventlet.sleep(0.5)
        exchange.answer(200, b"ok")

    # A quarter of 20 MB: five bodies of 1 MB.
    with deploy.deployment(
        slow, slow, slow, slow, spec=SPEC, memory_mb=20.0
    ) as system:
        limit_bytes = 20 * MB * _memory_budget.DATA_SHARE
        held = []

        def watch():
            while True:
                held.append(system.gateway.memory.total.held)
                eventlet.sleep(0.001)

        watcher = eventlet.spawn(watch)
        pool = eventlet.GreenPool(20)
        results = list(
            pool.imap(lambda n: system.ask("/once/x", body=BODY), range(20))
        )
        watcher.kill()
        assert max(held) <= limit_bytes
        statuses = [status for status, *_ in results]
        assert 5 <= statuses.count(200) < 20
        refused = [headers for status, headers, *_ in results if status == 503]
        assert len(refused) == 20 - statuses.count(200)
        assert {h["Zinniadyke-Code"] for h in refused} == {"3012"}
        assert {h["X-Zinniadyke-Request-Id"] for h in refused} == {"r1"}
        assert all(float(h["Retry-After"]) > 0 for h in refused)
        # Nothing that was refused ran.
        assert sum(len(t.seen) for t in system.targets) == (
            statuses.count(200)
        )
        assert free_again(system)
        # Requests without a body pass in any case.
        system.gateway.memory.total.hold(int(limit_bytes))
        assert system.ask("/once/x")[0] == 200
        assert system.ask("/once/x", body=b"x")[0] == 503


def test_failed_answers_are_dropped_when_the_call_goes_on_or_ends():
    """They are kept while a retry waits, and the last one is relayed."""
    bodies = [b"1" * MB, b"2" * MB]
    held = []

    with deploy.deployment(spec=SPEC) as system:

        def fail(exchange):
            held.append(system.gateway.memory.total.held)
            exchange.answer(500, bodies.pop(0))

        for _ in range(2):
            system.add_target(fail)
        names = {t.name for t in system.targets}
        assert deploy.wait_until(
            lambda: names <= set(system.gateway.view.targets or {})
        )
        status, _, body, _ = system.ask("/again/x")
        assert (status, body) == (500, b"2" * MB)
        # The first one is dropped when the retry is sent.
        assert held == [0, 0]
        assert free_again(system)


def head(framing):
    return b"POST / HTTP/1.1\r\nHost: h\r\n" + framing + b"\r\n\r\n"


def test_body_is_refused_before_it_is_read():
    """With a length at its header; with chunks at the first too many."""
    for framing, body, refused_at in (
        (b"Content-Length: 60", b"x" * 60, 0),
        (b"Transfer-Encoding: chunked", b"14\r\n" + b"x" * 20 + b"\r\n", 3),
    ):
        budget = _memory_budget.MemoryBudget(limit_bytes=50)
        parser = _request_parser.RequestParser(
            read_limits=directory.CallerLimits, memory=budget
        )
        parser.feed(head(framing))
        fed = 0
        while not parser.parsed:
            parser.feed(body)
            fed += 1
            assert budget.held <= 50
        assert fed == refused_at
        (request,) = parser.parsed
        assert request.refusal.code is errors.ResultCode.OUT_OF_MEMORY
        assert (request.body, budget.held) == (b"", 0)
        parser.feed(body)
        assert len(parser.parsed) == 1


def test_without_a_memory_setting_the_total_has_no_bound():
    memory = _memory_budget.ProcessMemory()
    account = memory.open_connection()
    assert account.take(1 << 40)
    assert (memory.total.held, account.held) == (1 << 40, 1 << 40)
    assert not memory.answers.fits(_memory_budget.MAX_ANSWER_BYTES + 1)


@pytest.mark.parametrize(
    "objective_s, max_gap_s, expected_s",
    [(0.3, 0.0, 2.0), (1.0, 0.0, 4.0), (0.3, 0.5, 4.0)],
)
def test_time_until_a_caller_is_abandoned(objective_s, max_gap_s, expected_s):
    assert _caller_writer.stall_s(objective_s, max_gap_s) == expected_s
