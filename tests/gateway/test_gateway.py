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
    with deploy.deployment(echo) as made:
        status, headers, body, _ = made.ask("/once/x?q=1", body=b"text")
        assert (status, body) == (200, b"answer of text")
        assert headers["X-Zinniadyke-Server-Stamp"] == "stamp"
        (seen,) = made.targets[0].seen
    assert seen.request_line == "POST /once/x?q=1 HTTP/1.1"
    assert seen.headers["x-zinniadyke-request-id"] == "r1"
    assert seen.headers["x-zinniadyke-expect-instance"] == "t1"
    assert seen.headers["x-zinniadyke-tenant"] == "clinic"
    assert "x-zinniadyke-key" not in seen.headers
    assert 0 < int(seen.headers["x-zinniadyke-deadline-ms"]) <= 2000


def test_caller_cannot_set_what_entries_set():
    with deploy.deployment(echo) as made:
        made.ask(
            "/open/x",
            key=None,
            X_Zinniadyke_Tenant="other",
            X_Zinniadyke_Expect_Instance="t9",
            Path="1.2.3.4:5=0-16",
        )
        (seen,) = made.targets[0].seen
    assert "x-zinniadyke-tenant" not in seen.headers
    assert seen.headers["x-zinniadyke-expect-instance"] == "t1"
    assert "path" not in seen.headers


def test_unknown_key_and_unknown_route_are_refused():
    with deploy.deployment(echo) as made:
        assert made.ask("/once/x", key="other")[0] == 401
        assert made.ask("/once/x", key=None)[0] == 401
        assert made.ask("/nowhere/x")[0] == 404
        assert made.ask("/open/x", key=None)[0] == 200
        assert len(made.targets[0].seen) == 1


def test_without_a_configuration_nothing_is_promised_but_not_run():
    made = deploy.Deployment()
    try:
        made.gateway.start()
        eventlet.sleep(0.1)
        status, headers, _, _ = made.ask("/once/x")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert not made.gateway.ready
    finally:
        made.stop()


def test_broken_request_that_may_run_once_is_not_sent_again():
    with deploy.deployment(reset, reset) as made:
        status, *_ = made.ask("/once/x")
        assert status == 502
        assert sum(len(t.seen) for t in made.targets) == 1


def test_broken_idempotent_request_goes_to_another_target():
    with deploy.deployment(reset, reset) as made:
        assert made.ask("/again/x")[0] == 502
        assert [len(t.seen) for t in made.targets] == [1, 1]


def test_answer_without_length_that_was_reset_is_not_whole():
    def torn(exchange):
        exchange.head()
        exchange.send(b"half of")
        eventlet.sleep(0.05)
        exchange.reset()

    with deploy.deployment(torn) as made:
        assert made.ask("/once/x")[0] == 502


def test_answer_without_length_ends_with_its_connection():
    def unframed(exchange):
        exchange.head()
        exchange.send(b"all of it")

    with deploy.deployment(unframed) as made:
        status, _, body, whole = made.ask("/once/x")
        assert (status, body, whole) == (200, b"all of it", True)


def test_short_answer_is_not_whole():
    def short(exchange):
        exchange.head(framing="Content-Length: 100")
        exchange.send(b"short")

    with deploy.deployment(short) as made:
        assert made.ask("/once/x")[0] == 502


def test_bytes_after_a_whole_answer_belong_to_nobody():
    def extra(exchange):
        exchange.answer(body=b"right")
        exchange.answer(body=b"wrong")

    with deploy.deployment(extra) as made:
        assert made.ask("/once/x")[2] == b"right"


def test_answer_to_another_request_is_not_passed_on():
    def crossed(exchange):
        exchange.answer(body=b"wrong", X_Zinniadyke_Request_Id="r0")

    with deploy.deployment(crossed) as made:
        assert made.ask("/once/x")[0] == 502


def test_success_without_signature_is_not_passed_on():
    def unsigned(exchange):
        exchange.answer(body=b"wrong", X_Zinniadyke_Server_Stamp="")

    with deploy.deployment(unsigned) as made:
        assert made.ask("/once/x")[0] == 502


def test_targets_own_failure_is_passed_on_unchanged():
    def fail(exchange):
        exchange.answer(500, b"failed")

    with deploy.deployment(fail) as made:
        status, headers, body, _ = made.ask("/once/x")
        assert (status, body) == (500, b"failed")
        assert headers["X-Zinniadyke-Server-Stamp"] == "stamp"


def test_refusal_with_proof_goes_on_to_another_target():
    def shed(exchange):
        exchange.answer(503, X_Zinniadyke_Not_Executed="1")

    with deploy.deployment(shed, shed) as made:
        status, headers, *_ = made.ask("/once/x")
        assert status == 503
        assert "X-Zinniadyke-Server-Stamp" not in headers
        assert float(headers["Retry-After"]) > 0
        assert [len(t.seen) for t in made.targets] == [1, 1]


def test_address_of_another_target_is_not_asked_again():
    def other(exchange):
        exchange.answer(421)

    with deploy.deployment(other, echo) as made:
        for _ in range(20):
            assert made.ask("/once/x")[0] == 200
        assert len(made.targets[0].seen) <= 1


def test_refusal_without_proof_promises_nothing():
    def doubtful(exchange):
        exchange.answer(503, b"busy")

    with deploy.deployment(doubtful, doubtful) as made:
        status, headers, *_ = made.ask("/once/x")
        assert status == 502
        assert "X-Zinniadyke-Server-Stamp" not in headers
        assert sum(len(t.seen) for t in made.targets) == 1


def test_stream_goes_on_at_another_target():
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

    with deploy.deployment(first_half, first_half) as made:
        status, _, body, whole = made.ask("/stream/x")
        assert (status, whole) == (200, True)
        assert body == b"".join(event(n) for n in (1, 2, 3, 4))


def test_stream_that_may_not_resume_looks_broken():
    with deploy.deployment(
        stream(1, 2, then=reset), stream(1, 2, then=reset)
    ) as made:
        _, _, _, whole = made.ask("/stream-once/x")
        assert not whole
        assert sum(len(t.seen) for t in made.targets) == 1


def test_events_that_the_caller_has_are_not_sent_twice():
    with deploy.deployment(stream(1, 2, 3)) as made:
        body = made.ask("/stream/x", Last_Event_Id="2")[2]
        assert body == event(3)
        (seen,) = made.targets[0].seen
        assert seen.headers["last-event-id"] == "2"


def test_target_is_freed_when_the_caller_leaves():
    closed = []

    def wait(exchange):
        closed.append(exchange.wait_closed(3.0))

    with deploy.deployment(wait) as made:
        sock = made.connect()
        sock.sendall(
            b"POST /stream/x HTTP/1.1\r\nHost: h.example\r\n"
            b"X-Zinniadyke-Request-Id: r1\r\nX-Zinniadyke-Key: key-1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        assert deploy.wait_until(lambda: made.targets[0].seen)
        sock.close()
        assert deploy.wait_until(lambda: closed)
    assert closed == [True]


def test_answer_comes_by_the_routes_timeout():
    def silent(exchange):
        exchange.wait_closed(3.0)

    with deploy.deployment(silent) as made:
        started = time.monotonic()
        status, *_ = made.ask("/short/x")
        assert status == 504
        assert time.monotonic() - started < 0.3 + 0.5


def test_ambiguous_requests_are_refused_and_run_nowhere():
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
    with deploy.deployment(echo) as made:
        for case in cases:
            sock = made.connect()
            sock.sendall(case)
            assert sock.recv(1000).startswith(b"HTTP/1.1 400 "), case
            sock.close()
        assert made.targets[0].seen == []


def test_limits_of_what_callers_send():
    with deploy.deployment(echo) as made:
        assert made.ask("/once/x", body=b"x" * 6000)[0] == 413
        assert made.ask("/once/x", More="x" * 3000)[0] == 431
        sock = made.connect()
        sock.sendall(b"POST /once/x HTTP/1.1\r\nHost:")
        assert sock.recv(1000).startswith(b"HTTP/1.1 408 ")
        assert made.targets[0].seen == []


def test_kept_connection_serves_requests_in_order():
    request = (
        b"POST /once/%d HTTP/1.1\r\nHost: h.example\r\n"
        b"X-Zinniadyke-Request-Id: r%d\r\nX-Zinniadyke-Key: key-1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n1\r\n%d\r\n0\r\n\r\n"
    )
    with deploy.deployment(echo) as made:
        sock = made.connect()
        sock.sendall(b"".join(request % (n, n, n) for n in range(3)))
        data = b""
        while data.count(b"answer of") < 3:
            data += sock.recv(4000)
        order = [data.index(b"answer of %d" % n) for n in range(3)]
        assert order == sorted(order)


def test_shutdown_lets_requests_end_and_refuses_later_ones():
    def slow(exchange):
        eventlet.sleep(0.5)
        exchange.answer(body=b"late")

    with deploy.deployment(slow, grace_s=4.0) as made:
        idle = made.connect()
        running = eventlet.spawn(made.ask, "/once/x")
        assert deploy.wait_until(lambda: made.targets[0].seen)
        stopping = eventlet.spawn(made.gateway.shut_down)
        eventlet.sleep(0.05)
        assert not made.gateway.ready
        status, headers, body, _ = running.wait()
        assert (status, body) == (200, b"late")
        assert headers["Connection"] == "close"
        assert stopping.wait() is True
        assert idle.recv(1) == b""


def test_leaving_and_lost_targets_get_nothing_new():
    with deploy.deployment(echo, echo) as made:
        leaving, lost = made.targets
        made.store.put(
            "servers", leaving.name, {**leaving.spec, "state": "draining"}
        )
        made.store.remove("servers", lost.name)
        assert deploy.wait_until(
            lambda: (
                list(made.gateway.view.targets) == ["t1"]
                and made.gateway.view.targets["t1"].leaving
            )
        )
        assert made.ask("/once/x")[0] == 503
        assert leaving.seen == lost.seen == []


def test_configuration_is_never_undone():
    with deploy.deployment(echo) as made:
        made.configure(deploy.configuration(3, [deploy.route("new")]))
        assert deploy.wait_until(lambda: made.ask("/new/x")[0] == 200)
        made.configure(deploy.configuration(2))
        eventlet.sleep(0.2)
        assert made.ask("/once/x")[0] == 404
        assert made.ask("/new/x")[0] == 200


def test_unreadable_registrations_hide_no_others():
    made = deploy.Deployment()
    try:
        made.configure(deploy.configuration())
        made.store.put("servers", "a", "bytes \ufffd")
        made.store.put("servers", "b", {"service": 4})
        made.store.put(
            "servers",
            "c",
            {"service": "desk", "address": "x", "zone": "", "state": "odd"},
        )
        made.add_target(echo)
        made.start()
        assert list(made.gateway.view.targets) == ["t1"]
        assert made.ask("/once/x")[0] == 200
    finally:
        made.stop()


def test_serving_goes_on_while_the_store_is_away():
    with deploy.deployment(echo) as made:
        made.store.down = 503
        eventlet.sleep(0.3)
        assert made.ask("/once/x")[0] == 200
        assert made.gateway.ready


def test_second_attempts_stay_within_the_budget_of_all_entries():
    def shed(exchange):
        exchange.answer(503, X_Zinniadyke_Not_Executed="1")

    with deploy.deployment(shed, shed) as made:
        made.gateway.forwarder.bounds = settings.BoundsSection(
            retry_ratio=0.2, retry_extra=10.0
        )
        for state in made.gateway.target_table.states.values():
            state.entries = 10
        asked = 20
        for _ in range(asked):
            assert made.ask("/again/x")[0] == 503
        arrivals = sum(len(t.seen) for t in made.targets)
        assert arrivals - asked <= 0.2 * asked + 10.0 / 10


def test_caller_that_leaves_after_its_answer_leaves_nothing_behind():
    with deploy.deployment(echo) as made:
        for _ in range(5):
            assert made.ask("/once/x")[0] == 200
        assert deploy.wait_until(lambda: not made.gateway.callers)


def test_request_that_failed_somewhere_is_not_called_not_run():
    def fail_then_shed(exchange):
        if sum(len(t.seen) for t in made.targets) == 1:
            exchange.answer(500, b"failed")
        else:
            exchange.answer(503, X_Zinniadyke_Not_Executed="1")

    with deploy.deployment(fail_then_shed, fail_then_shed) as made:
        assert made.ask("/again/x")[0] == 502
        assert [len(t.seen) for t in made.targets] == [1, 1]


def test_silence_ends_no_stream_that_can_not_go_on_elsewhere():
    def pause(exchange):
        exchange.head(framing="Transfer-Encoding: chunked")
        exchange.chunk(event(1))
        eventlet.sleep(1.5)
        exchange.chunk(event(2))
        exchange.chunk(b"")

    with deploy.deployment(pause) as made:
        _, _, body, whole = made.ask("/stream-once/x")
        assert (body, whole) == (event(1) + event(2), True)


def test_plain_answer_on_a_streaming_route_is_passed_on():
    def plain(exchange):
        exchange.answer(body=b"no events", Content_Type="text/plain")

    with deploy.deployment(plain) as made:
        assert made.ask("/stream/x")[2] == b"no events"
