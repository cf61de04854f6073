"""A stream that has begun breaks off, and the next target can't go on."""

import eventlet
import pytest

from tests.gateway import deployment as deploy

EVENT_STREAM = "text/event-stream"
ERROR = b'{"error": "overloaded"}'


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


BEGUN = event(1) + event(2)


def refuse(exchange):
    exchange.answer(503, ERROR, X_Zinniadyke_Not_Executed="1")


def refuse_too_many(exchange):
    exchange.answer(429, ERROR, X_Zinniadyke_Not_Executed="1")


def fail(exchange):
    exchange.answer(500, ERROR, Content_Type="application/json")


def fail_in_chunks(exchange):
    exchange.head(502, framing="Transfer-Encoding: chunked")
    exchange.chunk(ERROR)
    exchange.chunk(b"")


def fail_as_a_stream(exchange):
    exchange.answer(500, event(3), Content_Type=EVENT_STREAM)


def answer_another_type(exchange):
    exchange.answer(200, ERROR, Content_Type="application/json")


def answer_without_a_type(exchange):
    exchange.answer(200, ERROR)


def answer_without_a_signature(exchange):
    exchange.answer(200, event(3), X_Zinniadyke_Server_Stamp="")


def end_without_an_event(exchange):
    exchange.head(200, Content_Type=EVENT_STREAM)


def answer_nothing(exchange):
    exchange.answer(204)


def send_a_head_twice(exchange):
    exchange.head(503, framing="Content-Length: 2")
    exchange.head(503, framing="Content-Length: 2")
    exchange.send(b"no")


def reset(exchange):
    exchange.reset()


CANNOT_GO_ON = [
    refuse,
    refuse_too_many,
    fail,
    fail_in_chunks,
    fail_as_a_stream,
    answer_another_type,
    answer_without_a_type,
    answer_without_a_signature,
    end_without_an_event,
    answer_nothing,
    send_a_head_twice,
    reset,
]


def begins_then(script):
    """Begin a stream at the first target; let the script answer later."""

    def serve(exchange):
        if "last-event-id" in exchange.headers:
            script(exchange)
            return
        exchange.head(
            framing="Transfer-Encoding: chunked", Content_Type=EVENT_STREAM
        )
        exchange.chunk(BEGUN)
        eventlet.sleep(0.05)
        exchange.reset()

    return serve


@pytest.mark.parametrize("script", CANNOT_GO_ON, ids=lambda s: s.__name__)
def test_error_of_the_next_target_does_not_get_into_a_stream(script):
    serve = begins_then(script)
    with deploy.deployment(serve, serve) as system:
        status, _, body, complete = system.ask("/stream/x")
        assert sum(len(t.seen) for t in system.targets) == 2
    assert (status, body, complete) == (200, BEGUN, False)


def receive(sock):
    """Return received bytes; eventlet's ``recv`` hides a reset."""
    while True:
        try:
            return sock.fd.recv(65536)
        except BlockingIOError:
            eventlet.sleep(0.005)


@pytest.mark.parametrize("script", CANNOT_GO_ON, ids=lambda s: s.__name__)
def test_broken_stream_without_chunks_does_not_look_complete(script):
    """Callers of HTTP/1.0 take the end of the connection for the stream's."""
    serve = begins_then(script)
    with deploy.deployment(serve, serve) as system:
        sock = system.connect()
        sock.sendall(
            b"POST /stream/x HTTP/1.0\r\nHost: h.example\r\n"
            b"X-Zinniadyke-Request-Id: r1\r\n"
            b"X-Zinniadyke-Deadline-Ms: 3000\r\n"
            b"X-Zinniadyke-Key: %b\r\nContent-Length: 0\r\n\r\n"
            % deploy.KEY.encode()
        )
        received = b""
        with pytest.raises(ConnectionResetError):
            while part := receive(sock):
                received += part
        sock.close()
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.split(b" ")[1] == b"200"
    assert body == BEGUN
