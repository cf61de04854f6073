import time

import eventlet

from tests.gateway import deployment as deploy
from zinniadyke import settings


def echo(exchange):
    exchange.answer(body=b"answer of " + exchange.body)


def reset(exchange):
    exchange.reset()


def event(number):
    return f"id: {number}\ndata: part {number}\n\n".encode()


def stream(*numbers, then=None):
    def script(exchange):
        exchange.head(framing="Transfer-Encoding: chunked")
        for number in numbers:
            exchange.chunk(event(number))
        if then is not None:
            then(exchange)
            return
        exchange.chunk(b"")

    return script


def test_request_reaches_a_target_of_its_route():
    with deploy.deployment(echo) as system:
        status, headers, body, _ = system.ask("/once/x?q=1", body=b"text")
        assert (status, body) == (200, b"answer of text")
        assert headers["X-Zinniadyke-Server-Stamp"] == "stamp"
        (seen,) = system.targets[0].seen
    assert seen.request_line == "POST /once/x?q=1 HTTP/1.1"
    assert seen.headers["x-zinniadyke-request-id"] == "r1"
    assert seen.headers["x-zinniadyke-expect-instance"] == "t1"
    assert seen.headers["x-zinniadyke-tenant"] == "clinic"
    assert "x-zinniadyke-key" not in seen.headers
    assert 0 < int(seen.headers["x-zinniadyke-deadline-ms"]) <= 2000


def test_callers_cannot_set_entry_headers():
    with deploy.deployment(echo) as system:
        system.ask(
            "/open/x",
            key=None,
            X_Zinniadyke_Tenant="other",
            X_Zinniadyke_Expect_Instance="t9",
            Path="1.2.3.4:5=0-16",
        )
        (seen,) = system.targets[0].seen
    assert "x-zinniadyke-tenant" not in seen.headers
    assert seen.headers["x-zinniadyke-expect-instance"] == "t1"
    assert "path" not in seen.headers


def test_unknown_key_and_unknown_route_are_refused():
    with deploy.deployment(echo) as system:
        assert system.ask("/once/x", key="other")[0] == 401
        assert system.ask("/once/x", key=None)[0] == 401
        assert system.ask("/nowhere/x")[0] == 404
        assert system.ask("/open/x", key=None)[0] == 200
        assert len(system.targets[0].seen) == 1


def test_request_without_configuration_gets_503_and_retry_after():
    system = deploy.Deployment()
    try:
        system.gateway.start()
        eventlet.sleep(0.1)
        status, headers, _, _ = system.ask("/once/x")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert not system.gateway.ready
    finally:
        system.stop()


def test_broken_non_idempotent_request_is_not_retried():
    with deploy.deployment(reset, reset) as system:
        status, *_ = system.ask("/once/x")
        assert status == 502
        assert sum(len(t.seen) for t in system.targets) == 1


def test_broken_idempotent_request_is_retried_elsewhere():
    with deploy.deployment(reset, reset) as system:
        assert system.ask("/again/x")[0] == 502
        assert [len(t.seen) for t in system.targets] == [1, 1]


def test_reset_response_without_length_is_incomplete():
    def torn(exchange):
        exchange.head()
        exchange.send(b"half of")
        eventlet.sleep(0.05)
        exchange.reset()

    with deploy.deployment(torn) as system:
        assert system.ask("/once/x")[0] == 502


def test_response_without_length_ends_with_its_connection():
    def unframed(exchange):
        exchange.head()
        exchange.send(b"all of it")

    with deploy.deployment(unframed) as system:
        status, _, body, complete = system.ask("/once/x")
        assert (status, body, complete) == (200, b"all of it", True)


def test_response_shorter_than_its_length_is_incomplete():
    def short(exchange):
        exchange.head(framing="Content-Length: 100")
        exchange.send(b"short")

    with deploy.deployment(short) as system:
        assert system.ask("/once/x")[0] == 502


def test_bytes_after_a_complete_response_are_dropped():
    def extra(exchange):
        exchange.answer(body=b"right")
        exchange.answer(body=b"wrong")

    with deploy.deployment(extra) as system:
        assert system.ask("/once/x")[2] == b"right"


def test_response_to_another_request_is_not_relayed():
    def crossed(exchange):
        exchange.answer(body=b"wrong", X_Zinniadyke_Request_Id="r0")

    with deploy.deployment(crossed) as system:
        assert system.ask("/once/x")[0] == 502


def test_success_without_signature_is_not_relayed():
    def unsigned(exchange):
        exchange.answer(body=b"wrong", X_Zinniadyke_Server_Stamp="")

    with deploy.deployment(unsigned) as system:
        assert system.ask("/once/x")[0] == 502


def test_targets_own_failure_is_relayed_unchanged():
    def fail(exchange):
        exchange.answer(500, b"failed")

    with deploy.deployment(fail) as system:
        status, headers, body, _ = system.ask("/once/x")
        assert (status, body) == (500, b"failed")
        assert headers["X-Zinniadyke-Server-Stamp"] == "stamp"


def test_refusal_with_proof_is_retried_elsewhere():
    def shed(exchange):
        exchange.answer(503, X_Zinniadyke_Not_Executed="1")

    with deploy.deployment(shed, shed) as system:
        status, headers, *_ = system.ask("/once/x")
        assert status == 503
        assert "X-Zinniadyke-Server-Stamp" not in headers
        assert float(headers["Retry-After"]) > 0
        assert [len(t.seen) for t in system.targets] == [1, 1]


def test_misdirected_target_gets_no_more_requests():
    def other(exchange):
        exchange.answer(421)

    with deploy.deployment(other, echo) as system:
        for _ in range(20):
            assert system.ask("/once/x")[0] == 200
        assert len(system.targets[0].seen) <= 1


def test_refusal_without_proof_is_not_retried():
    def doubtful(exchange):
        exchange.answer(503, b"busy")

    with deploy.deployment(doubtful, doubtful) as system:
        status, headers, *_ = system.ask("/once/x")
        assert status == 502
        assert "X-Zinniadyke-Server-Stamp" not in headers
        assert sum(len(t.seen) for t in system.targets) == 1


def test_stream_resumes_at_another_target():
    def first_half(exchange):
        if "last-event-id" in exchange.headers:
            assert exchange.headers["last-event-id"] == "2"
            stream(3, 4)(exchange)
            return

        def tear(exchange):
            exchange.chunk(b"id: 3\ndata: hal")
            eventlet.sleep(0.05)
            exchange.reset()

        stream(1, 2, then=tear)(exchange)

    with deploy.deployment(first_half, first_half) as system:
        status, _, body, complete = system.ask("/stream/x")
        assert (status, complete) == (200, True)
        assert body == b"".join(event(n) for n in (1, 2, 3, 4))


def unframed_stream(*numbers, then=b""):
    def script(exchange):
        exchange.head(Content_Type="text/event-stream")
        exchange.send(b"".join(event(n) for n in numbers) + then)

    return script


def test_unframed_stream_that_ends_with_an_event_is_whole():
    with deploy.deployment(unframed_stream(1, 2)) as system:
        status, _, body, complete = system.ask("/stream/x")
    assert (status, body, complete) == (200, event(1) + event(2), True)


def test_unframed_stream_that_ends_inside_an_event_goes_on_elsewhere():
    broken = unframed_stream(1, then=b"id: 2\nda")
    with deploy.deployment(broken, broken) as system:
        status, _, body, complete = system.ask("/stream/x")
        assert len(system.targets[0].seen) + len(system.targets[1].seen) == 2
    assert (status, body, complete) == (200, event(1), False)


def test_unframed_stream_without_an_event_is_not_whole():
    """A target that crashes as it begins an answer looks the same."""
    empty = unframed_stream()
    with deploy.deployment(empty, empty) as system:
        status = system.ask("/stream/x")[0]
        assert len(system.targets[0].seen) + len(system.targets[1].seen) == 2
    assert status == 502


def test_broken_stream_without_resume_looks_incomplete():
    with deploy.deployment(
        stream(1, 2, then=reset), stream(1, 2, then=reset)
    ) as system:
        _, _, _, complete = system.ask("/stream-once/x")
        assert not complete
        assert sum(len(t.seen) for t in system.targets) == 1


def test_events_received_by_the_caller_are_not_sent_again():
    with deploy.deployment(stream(1, 2, 3)) as system:
        body = system.ask("/stream/x", Last_Event_Id="2")[2]
        assert body == event(3)
        (seen,) = system.targets[0].seen
        assert seen.headers["last-event-id"] == "2"


def test_request_is_cancelled_when_the_caller_disconnects():
    closed = []

    def wait(exchange):
        closed.append(exchange.wait_closed(3.0))

    with deploy.deployment(wait) as system:
        sock = system.connect()
        sock.sendall(
            b"POST /stream/x HTTP/1.1\r\nHost: h.example\r\n"
            b"X-Zinniadyke-Request-Id: r1\r\nX-Zinniadyke-Key: key-1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        assert deploy.wait_until(lambda: system.targets[0].seen)
        sock.close()
        assert deploy.wait_until(lambda: closed)
    assert closed == [True]


def test_response_arrives_by_the_route_timeout():
    def silent(exchange):
        exchange.wait_closed(3.0)

    with deploy.deployment(silent) as system:
        started = time.monotonic()
        status, *_ = system.ask("/short/x")
        assert status == 504
        assert time.monotonic() - started < 0.3 + 0.5


def test_ambiguous_requests_are_rejected_and_not_forwarded():
    head = b"POST /once/x HTTP/1.1\r\nHost: h.example\r\n"
    tail = b"X-Zinniadyke-Key: key-1\r\n\r\n"
    smuggled = b"GET /once/evil HTTP/1.1\r\nHost: h.example\r\n\r\n"
    cases = [
        head
        + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"
        + tail
        + b"0\r\n\r\n"
        + smuggled,
        head + b"Content-Length: 3\r\nContent-Length: 4\r\n" + tail + b"abcd",
        head + b"Host: other.example\r\n" + tail,
        head + b"Content-Length : 3\r\n" + tail + b"abc",
        b"nonsense\r\n\r\n",
    ]
    with deploy.deployment(echo) as system:
        for case in cases:
            sock = system.connect()
            sock.sendall(case)
            assert sock.recv(1000).startswith(b"HTTP/1.1 400 "), case
            sock.close()
        assert system.targets[0].seen == []


def test_request_size_and_header_time_limits():
    with deploy.deployment(echo) as system:
        assert system.ask("/once/x", body=b"x" * 6000)[0] == 413
        assert system.ask("/once/x", More="x" * 3000)[0] == 431
        sock = system.connect()
        sock.sendall(b"POST /once/x HTTP/1.1\r\nHost:")
        assert sock.recv(1000).startswith(b"HTTP/1.1 408 ")
        assert system.targets[0].seen == []


def test_pipelined_requests_are_answered_in_order():
    request = (
        b"POST /once/%d HTTP/1.1\r\nHost: h.example\r\n"
        b"X-Zinniadyke-Request-Id: r%d\r\nX-Zinniadyke-Key: key-1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n1\r\n%d\r\n0\r\n\r\n"
    )
    with deploy.deployment(echo) as system:
        sock = system.connect()
        sock.sendall(b"".join(request % (n, n, n) for n in range(3)))
        data = b""
        while data.count(b"answer of") < 3:
            data += sock.recv(4000)
        order = [data.index(b"answer of %d" % n) for n in range(3)]
        assert order == sorted(order)


def test_shutdown_finishes_requests_and_closes_idle_connections():
    def slow(exchange):
        eventlet.sleep(0.5)
        exchange.answer(body=b"late")

    with deploy.deployment(slow, grace_s=8.0) as system:
        idle = system.connect()
        running = eventlet.spawn(system.ask, "/once/x")
        assert deploy.wait_until(lambda: system.targets[0].seen)
        stopping = eventlet.spawn(system.gateway.shut_down)
        eventlet.sleep(0.05)
        assert not system.gateway.ready
        status, headers, body, _ = running.wait()
        assert (status, body) == (200, b"late")
        assert headers["Connection"] == "close"
        assert stopping.wait() is True
        assert idle.recv(1) == b""


def test_draining_and_unregistered_targets_get_no_requests():
    with deploy.deployment(echo, echo) as system:
        leaving, lost = system.targets
        system.store.put(
            "servers", leaving.name, {**leaving.spec, "state": "draining"}
        )
        system.store.remove("servers", lost.name)
        assert deploy.wait_until(
            lambda: (
                list(system.gateway.view.targets) == ["t1"]
                and system.gateway.view.targets["t1"].leaving
            )
        )
        assert system.ask("/once/x")[0] == 503
        assert leaving.seen == lost.seen == []


def test_older_configuration_is_ignored():
    with deploy.deployment(echo) as system:
        system.configure(deploy.configuration(3, [deploy.route("new")]))
        assert deploy.wait_until(lambda: system.ask("/new/x")[0] == 200)
        system.configure(deploy.configuration(2))
        eventlet.sleep(0.2)
        assert system.ask("/once/x")[0] == 404
        assert system.ask("/new/x")[0] == 200


def test_invalid_registrations_do_not_affect_others():
    system = deploy.Deployment()
    try:
        system.configure(deploy.configuration())
        system.store.put("servers", "a", "bytes \ufffd")
        system.store.put("servers", "b", {"service": 4})
        system.store.put(
            "servers",
            "c",
            {"service": "desk", "address": "x", "zone": "", "state": "odd"},
        )
        system.add_target(echo)
        system.start()
        assert list(system.gateway.view.targets) == ["t1"]
        assert system.ask("/once/x")[0] == 200
    finally:
        system.stop()


def test_serving_continues_while_the_store_is_down():
    with deploy.deployment(echo) as system:
        system.store.down = 503
        eventlet.sleep(0.3)
        assert system.ask("/once/x")[0] == 200
        assert system.gateway.ready


def test_retries_stay_within_the_budget_of_all_entries():
    def shed(exchange):
        exchange.answer(503, X_Zinniadyke_Not_Executed="1")

    with deploy.deployment(shed, shed) as system:
        system.gateway.forwarder.retry_budgets.bounds = settings.BoundsSection(
            retry_ratio=0.2, retry_extra=10.0
        )
        for state in system.gateway.target_table.states.values():
            state.entries = 10
        asked = 20
        for _ in range(asked):
            assert system.ask("/again/x")[0] == 503
        arrivals = sum(len(t.seen) for t in system.targets)
        assert arrivals - asked <= 0.2 * asked + 10.0 / 10


def test_raised_limit_holds_for_connections_that_are_open():
    request = (
        b"POST /open/x HTTP/1.1\r\nHost: h.example\r\n"
        b"X-Zinniadyke-Request-Id: r1\r\nX-Zinniadyke-Deadline-Ms: 3000\r\n"
        b"Content-Length: 6000\r\n\r\n" + b"x" * 6000
    )
    with deploy.deployment(lambda exchange: exchange.answer()) as system:
        sock = system.connect()
        limits = {
            **deploy.configuration()["limits"],
            "max_body_bytes": 10_000,
        }
        system.configure(deploy.configuration(2, limits=limits))
        assert deploy.wait_until(
            lambda: system.gateway.view.configuration.version == 2
        )
        sock.sendall(request)
        assert sock.recv(65536).startswith(b"HTTP/1.1 200")
        sock.close()


def test_refused_head_request_leaves_no_body_on_the_connection():
    head = (
        b"%b /none/x HTTP/1.1\r\nHost: h.example\r\n"
        b"X-Zinniadyke-Request-Id: r1\r\n\r\n"
    )
    with deploy.deployment(echo) as system:
        sock = system.connect()
        answers = []
        for _ in range(2):
            sock.sendall(head % b"HEAD")
            answers.append(sock.recv(65536))
        sock.close()
    for answer in answers:
        assert answer.startswith(b"HTTP/1.1 4")
        assert answer.endswith(b"\r\n\r\n")


def test_closed_caller_connections_are_forgotten():
    with deploy.deployment(echo) as system:
        for _ in range(5):
            assert system.ask("/once/x")[0] == 200
        assert deploy.wait_until(lambda: not system.gateway.callers)


def test_request_that_failed_once_is_not_reported_as_not_run():
    def fail_then_shed(exchange):
        if sum(len(t.seen) for t in system.targets) == 1:
            exchange.answer(500, b"failed")
        else:
            exchange.answer(503, X_Zinniadyke_Not_Executed="1")

    with deploy.deployment(fail_then_shed, fail_then_shed) as system:
        assert system.ask("/again/x")[0] == 502
        assert [len(t.seen) for t in system.targets] == [1, 1]


def test_silence_does_not_end_a_stream_without_resume():
    def pause(exchange):
        exchange.head(framing="Transfer-Encoding: chunked")
        exchange.chunk(event(1))
        eventlet.sleep(1.5)
        exchange.chunk(event(2))
        exchange.chunk(b"")

    with deploy.deployment(pause) as system:
        _, _, body, complete = system.ask("/stream-once/x")
        assert (body, complete) == (event(1) + event(2), True)


def test_non_stream_response_on_a_streaming_route_is_relayed():
    def plain(exchange):
        exchange.answer(body=b"no events", Content_Type="text/plain")

    with deploy.deployment(plain) as system:
        assert system.ask("/stream/x")[2] == b"no events"
