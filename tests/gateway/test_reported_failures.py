"""Failures that operators of similar systems met, on our own processes."""

import time

import eventlet
import pytest

from tests.gateway import deployment as deploy
from zinniadyke import errors
from zinniadyke import fakes
from zinniadyke import gateway
from zinniadyke.gateway import _gateway
from zinniadyke import platform

# Longest time of an answer of the planned stop, without stalls of the process.
ANSWER_S = 2.0
# Deadlines and timeouts beyond any stall of the process.
LONG_S = 30
STALL_CHECK_S = 0.02
REPORT = (
    b'{"models":[],"busy":false,"seq":%d,"waiting":0,"running":0,"born":7}'
)


def http_answer(body, status=b"200 OK"):
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (
        status,
        len(body),
        body,
    )


def test_second_copy_of_an_answer_reaches_no_other_caller():
    """A target sends each answer twice, the copy late."""

    def twice(exchange):
        exchange.answer(body=b"answer of " + exchange.body)
        eventlet.sleep(0.05)
        try:
            exchange.answer(body=b"copy of " + exchange.body)
        except OSError:
            return

    with deploy.deployment(twice) as system:
        for number in range(20):
            name = f"q{number}"
            status, _, body, _ = system.ask(
                "/once/x", body=name.encode(), X_Zinniadyke_Request_Id=name
            )
            assert (status, body) == (200, f"answer of {name}".encode())
            eventlet.sleep(0.01)


@pytest.mark.parametrize("status", [0, 42, 99, 600, 999])
@pytest.mark.parametrize("path", ["/once/x", "/stream-once/x"])
def test_status_that_does_not_exist_is_no_answer(status, path):
    """Guards against an answer whose status is none, as 000 (MIXED)."""

    def script(exchange):
        exchange.send(
            b"HTTP/1.1 %03d X\r\nX-Zinniadyke-Request-Id: r1\r\n"
            b"X-Zinniadyke-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
            % status
        )
        # Not an interim answer either.
        exchange.answer(200, b"second")
        eventlet.sleep(1.0)

    with deploy.deployment(script) as system:
        answer = system.ask(path)
        assert answer[0] == 502
        assert b"status %d" % status in answer[2]


@pytest.mark.parametrize("status", [200, 226, 299, 302, 399, 404, 499, 599])
def test_status_that_exists_is_passed_on(status):
    with deploy.deployment(lambda e: e.answer(status, b"x")) as system:
        assert system.ask("/once/x")[0] == status


class DoublingServer:
    """A model server that answers the first call twice, the copy late."""

    def __init__(self, answers):
        self.answers = answers
        self.connections = 0
        self.socket = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self.copied = False
        self.task = eventlet.spawn(self.accept)

    def accept(self):
        while True:
            sock, _ = self.socket.accept()
            self.connections += 1
            eventlet.spawn_n(self.serve, sock)

    def serve(self, sock):
        while data := sock.recv(65536):
            path = data.split(b" ")[1].split(b"?")[0].decode()
            answer = self.answers(path, data)
            sock.sendall(answer)
            if not self.copied:
                self.copied = True
                # Arrives when the next call on the connection waits.
                eventlet.spawn_after(0.05, self.send_copy, sock, answer)

    def send_copy(self, sock, answer):
        try:
            sock.sendall(answer)
        except OSError:
            return

    def stop(self):
        self.task.kill()
        self.socket.close()


def test_order_does_not_take_the_copy_of_a_report_for_its_answer():
    """A copied 200 would look like an order that is in effect."""

    def answers(path, data):
        if path == "/v1/order":
            eventlet.sleep(0.2)
            return http_answer(b"", b"409 Conflict")
        return http_answer(REPORT % 3)

    server = DoublingServer(answers)
    client = platform.ModelServerClient(address=server.address)
    assert client.report(16).orders_begun == 3
    assert not client.load("m", 2, orders_begun=3, cancel_running=False)
    server.stop()


def test_piece_that_is_a_copy_of_another_is_read_again_elsewhere():
    """One extra answer would shift all later ones of the connection."""

    def answers(path, data):
        eventlet.sleep(0.1)
        index = data.split(b"item_count=")[1].split(b" ")[0]
        return http_answer(b"piece " + index)

    server = DoublingServer(answers)
    client = platform.ModelServerClient(address=server.address)
    assert client.read_piece("m", 0) == b"piece 0"
    shifted = client.read_piece("m", 1)
    client.replace_connections()
    assert shifted in (b"piece 0", b"piece 1")
    assert client.read_piece("m", 2) == b"piece 2"
    assert client.read_piece("m", 3) == b"piece 3"
    server.stop()


def removed_from_balancer(system):
    """Whether the load balancer opens no more connections to the gateway."""
    since = system.gateway.stopping_since
    return since is not None and (
        time.monotonic() > since + _gateway.BALANCER_REMOVAL_S
    )


def watch_stalls(stalls):
    """Record the times in which this process does not run."""
    while True:
        before = time.monotonic()
        eventlet.sleep(STALL_CHECK_S)
        if time.monotonic() > before + 2 * STALL_CHECK_S:
            stalls.append((before + STALL_CHECK_S, time.monotonic()))


def run_time_s(start, end, stalls):
    """Return the time between two moments without the stalls."""
    return (end - start) - sum(
        max(min(end, until) - max(start, since), 0.0)
        for since, until in stalls
    )


def test_planned_stop_under_load_cuts_off_no_accepted_request():
    """Callers on kept and on new connections go on until the process ends.

    All parts share a process. If it stands still, a timer of a caller, or
    the gateway's for the deadline, must not fire for an answer that has
    come; so these are long, and the time of each answer is checked without
    the stalls.
    """

    def work(exchange):
        eventlet.sleep(0.15)
        exchange.answer(body=b"done")

    ended = []
    stopped = []
    took = []
    stalls = []

    def keep_asking(system, number):
        """Ask on one connection until it closes between two requests."""
        request = (
            b"POST /open/x HTTP/1.1\r\nHost: h.example\r\n"
            b"X-Zinniadyke-Request-Id: q%d\r\n"
            b"X-Zinniadyke-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n"
        )
        while not removed_from_balancer(system):
            try:
                sock = system.connect()
            except OSError:
                return
            sock.settimeout(LONG_S)
            number += 1000
            while not stopped:
                number += 1
                started_at = time.monotonic()
                try:
                    sock.sendall(request % (number, LONG_S * 1000))
                    data = b""
                    while b"\r\n\r\n" not in data:
                        part = sock.recv(65536)
                        if not part:
                            break
                        data += part
                except ConnectionError:
                    # Reset or closed before the request was read.
                    break
                if not data:
                    break
                head, _, body = data.partition(b"\r\n\r\n")
                status = int(head.split(b" ")[1])
                length = int(
                    head.lower().split(b"content-length: ")[1].split(b"\r")[0]
                )
                while len(body) < length:
                    body += sock.recv(65536)
                ended.append((status, body))
                took.append((started_at, time.monotonic()))
                if b"connection: close" in head.lower():
                    break
            sock.close()

    routes = [deploy.route("open", public=True, timeout_ms=LONG_S * 1000)]
    spec = deploy.configuration(routes=routes)
    with deploy.deployment(work, work, spec=spec, grace_s=8.0) as system:
        watcher = eventlet.spawn(watch_stalls, stalls)
        callers = [
            eventlet.spawn(keep_asking, system, 10_000 * n) for n in range(30)
        ]
        eventlet.sleep(0.5)
        before = len(ended)
        assert before
        assert system.gateway.shut_down() is True
        # Callers read the answers that are on their way to them.
        stopped.append(True)
        for caller in callers:
            caller.wait()
        # It records a stall that ends now.
        eventlet.sleep(2 * STALL_CHECK_S)
        watcher.kill()
        received = sum(len(t.seen) for t in system.targets)
    statuses = {status for status, _ in ended}
    assert statuses <= {200, 503}
    answered = sum(status == 200 for status, _ in ended)
    # Whatever reached a target was answered to its caller.
    assert answered == received
    assert max(run_time_s(*times, stalls) for times in took) < ANSWER_S


@pytest.fixture
def system():
    with deploy.deployment(lambda e: e.answer(body=b"ok")) as made:
        yield made


def restart(system):
    """Replace the gateway process by a new one with the same settings."""
    loaded = system.gateway.settings
    system.gateway.close()
    eventlet.sleep(0.05)
    system.gateway = gateway.Gateway(loaded=loaded)
    system.gateway.start()


def test_withdrawn_key_is_not_in_use_after_a_restart(system):
    assert system.ask("/once/x")[0] == 200
    tenants = [{"name": "clinic", "api_keys": ["key-2"]}]
    system.configure(deploy.configuration(version=2, tenants=tenants))
    assert deploy.wait_until(lambda: system.ask("/once/x")[0] == 401)
    # While the store is away, a new process serves nobody.
    system.store.down = 503
    restart(system)
    for _ in range(5):
        assert system.ask("/once/x")[0] == 503
        eventlet.sleep(0.05)
    system.store.down = 0
    assert deploy.wait_until(lambda: system.gateway.ready)
    assert system.ask("/once/x")[0] == 401


def test_target_that_left_is_not_in_use_after_a_restart(system):
    system.store.remove("servers", "t1")
    assert deploy.wait_until(lambda: system.ask("/once/x")[0] == 503)
    seen = len(system.targets[0].seen)
    restart(system)
    assert deploy.wait_until(lambda: system.gateway.ready)
    assert system.ask("/once/x")[0] == 503
    assert len(system.targets[0].seen) == seen


@pytest.mark.parametrize("late_s", [0.0, 0.02])
def test_copy_of_an_answer_of_the_store_is_not_the_next_answer(late_s):
    """The copy is there when the next call on the connection begins."""
    connections = []
    page = b'{"items": [], "has_more": false, "current_rev": %d}'

    def script(exchange):
        connections.append(exchange)
        if len(connections) > 1:
            exchange.answer(body=page % 9)
            return
        answer = http_answer(page % 5)
        if not late_s:
            exchange.send(answer * 2)
        else:
            exchange.send(answer)
            eventlet.sleep(late_s)
            exchange.send(answer)
        eventlet.sleep(1.0)

    store = fakes.ScriptedTarget(script=script)
    client = platform.StoreClient(address=store.address, timeout_s=0.5)
    assert client.list_objects("a").revision.number == 5
    eventlet.sleep(0.05)
    try:
        found = client.list_objects("b").revision.number
    except errors.PlatformError:
        # The connection is used again but serves nothing more.
        found = None
    assert found in (9, None)
    store.stop()


def test_server_that_asks_for_time_gets_no_call_of_its_agent():
    """Answers to calls that were on their way do not end the time."""
    calls = []

    def script(exchange):
        calls.append(exchange.request_line)
        if "order" in exchange.request_line:
            exchange.answer(503, b"", Retry_After="5")
            return
        eventlet.sleep(0.1)
        exchange.answer(body=REPORT % 3)

    server = fakes.ScriptedTarget(script=script)
    client = platform.ModelServerClient(address=server.address)
    report = eventlet.spawn(client.report, 16)
    eventlet.sleep(0.02)
    with pytest.raises(errors.EngineError):
        client.load("m", 2, orders_begun=3, cancel_running=False)
    assert report.wait().orders_begun == 3
    for _ in range(5):
        with pytest.raises(errors.EngineError):
            client.report(16)
    assert len(calls) == 2
    server.stop()


@pytest.mark.parametrize("request_id", ["", "another"])
@pytest.mark.parametrize("status", [421, 429, 503])
def test_refusal_of_no_or_another_request_does_not_prove_not_run(
    status, request_id
):
    def refuse(exchange):
        exchange.answer(
            status,
            b"earlier",
            X_Zinniadyke_Request_Id=request_id,
            X_Zinniadyke_Not_Executed="1",
        )

    with deploy.deployment(refuse, refuse) as system:
        answered, *_ = system.ask("/once/x")
        arrivals = sum(len(t.seen) for t in system.targets)
    assert (answered, arrivals) == (502, 1)
