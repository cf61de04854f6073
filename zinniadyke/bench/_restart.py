"""Restarts entries one by one under load and counts what callers get."""

import collections
from collections.abc import Callable
import enum
import pathlib
import socket
import subprocess
import sys
import tempfile
import time

import eventlet
import msgspec

from zinniadyke.bench import _bound
from zinniadyke import fakes

SERVICE = "desk"
HOST = "desk.example"
TARGETS = 2
# All entries listen on the same port of their own address.
FIRST_ENTRY_IP = 11
START_TIMEOUT_S = 30.0
# Load before the first stop, and after each start of an entry.
CALM_S = 2.0
# Longest time that a caller waits beyond its deadline.
PATIENCE_S = 3.0
RECONNECT_S = 0.05
# Callers that are refused ignore Retry-After and ask again after this time.
REPEAT_S = 0.005
POLL_S = 0.02
# Part of the requests after a stop signal that may get no answer.
MAX_UNANSWERED = 1 / 2000
SETTINGS = """
[host]
name = "{name}"
zone = "z1"
region = "r1"
ip = "{ip}"
ports = [{internal}, {internal}]
[store]
address = "{store}"
[listen]
requests = "{ip}:{port}"
ready = "{ip}:{ready}"
[bounds]
grace_s = {grace_s}
"""
REQUEST = (
    "POST /x/ HTTP/1.1\r\nHost: %s\r\nX-Zinniadyke-Request-Id: %s\r\n"
    "X-Zinniadyke-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n"
)


class Got(enum.Enum):
    """What a caller got for a request."""

    ANSWERED = "answered"
    # Status 503: not run.
    REFUSED = "refused"
    # Any other status.
    FAILED = "failed"
    # The connection ended without an answer; no target had the request.
    CLOSED = "closed"
    # The same, but the request had been passed on to a target.
    CUT = "cut"
    # Nobody listened, so nothing was sent.
    NO_ENTRY = "no entry"


class RestartOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Load of a rolling restart.

    Attributes
    ----------
    callers
        Callers of each entry; each uses a connection until it is closed.
    work_ms
        Time in which a target answers, in milliseconds.
    timeout_ms
        Timeout of the route and deadline of the callers, in milliseconds.
    grace_s
        Time that a stopping entry has, in seconds.
    kind
        Kind of the route: whether requests may be repeated.
    """

    entries: int = 3
    callers: int = 10
    work_ms: int = 300
    timeout_ms: int = 1500
    grace_s: int = 8
    kind: str = "non_idempotent"


class RestartRow(msgspec.Struct, kw_only=True):
    """What callers got in one second, by its number since the start."""

    second: int
    counts: dict[str, int]


class RestartResult(msgspec.Struct, kw_only=True):
    """Result of a rolling restart.

    Attributes
    ----------
    totals
        Requests of the whole run, by what their callers got.
    after_stop
        The same for those sent to an entry between its stop signal and its
        end.
    stop_s
        Time from the stop signal to the end of each entry, in seconds.
    """

    totals: dict[str, int]
    after_stop: dict[str, int]
    stop_s: list[float]
    rows: list[RestartRow]

    def bounds(self) -> list[_bound.Bound]:
        """Return the bounds on what callers lose."""
        sent = sum(self.after_stop.values())
        sent -= self.after_stop.get(Got.NO_ENTRY.value, 0)
        closed = self.after_stop.get(Got.CLOSED.value, 0)
        return [
            _bound.Bound(
                name="requests cut off",
                limit=0,
                value=self.totals.get(Got.CUT.value, 0),
            ),
            _bound.Bound(
                name="part of the requests after a stop without an answer",
                limit=MAX_UNANSWERED,
                value=closed / max(sent, 1),
            ),
        ]


class EntryProcess:
    """One entry process, which can be stopped and started again.

    Attributes
    ----------
    stopped_at
        Monotonic time of the stop signal; None if it was started since.
    """

    def __init__(self, *, name: str, ip: str, port: int, ready: int) -> None:
        self.name = name
        self.ip = ip
        self.port = port
        self.ready = ready
        self.process: subprocess.Popen | None = None
        self.stopped_at: float | None = None

    def start(self, folder: pathlib.Path) -> None:
        """Start the process and wait until it is ready."""
        self.launch(folder)
        with eventlet.Timeout(START_TIMEOUT_S):
            while not self._is_ready():
                eventlet.sleep(POLL_S)

    def launch(self, folder: pathlib.Path) -> None:
        """Start the process."""
        settings = folder / f"{self.name}.toml"
        with (
            (folder / f"{self.name}.log").open("a") as log,
            (folder / f"{self.name}.err").open("a") as err,
        ):
            self.process = subprocess.Popen(
                [
                    *(sys.executable, "-m", "zinniadyke"),
                    *("gateway", "--config", str(settings)),
                ],
                stdout=log,
                stderr=err,
            )
        self.stopped_at = None

    def _is_ready(self) -> bool:
        try:
            with socket.create_connection((self.ip, self.ready), 1.0) as sock:
                sock.sendall(
                    b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: close\r\n\r\n"
                )
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def stop(self) -> float:
        """Send the stop signal; return the time until the end, in seconds."""
        self.stopped_at = time.monotonic()
        self.process.terminate()
        while self.process.poll() is None:
            eventlet.sleep(POLL_S)
        return time.monotonic() - self.stopped_at

    def kill(self) -> None:
        """End the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class RestartRun:
    """Entries, targets and callers of one run.

    Attributes
    ----------
    passed_on
        Ids of the requests that have reached a target.
    """

    def __init__(
        self, *, options: RestartOptions, folder: pathlib.Path
    ) -> None:
        self.options = options
        self.folder = folder
        self.store = fakes.FakeStore()
        self.passed_on: set[str] = set()
        self.targets = [
            fakes.ScriptedTarget(script=self._work) for _ in range(TARGETS)
        ]
        self.started_at = 0.0
        self.ended = False
        self.totals: collections.Counter = collections.Counter()
        self.after_stop: collections.Counter = collections.Counter()
        self.by_second: dict[int, collections.Counter] = {}
        self.configure(1)
        self._register_targets()
        self.entries = self._make_entries()

    def _work(self, exchange: fakes.Exchange) -> None:
        self.passed_on.add(exchange.request_id)
        eventlet.sleep(self.options.work_ms / 1000)
        try:
            exchange.answer(body=b"done")
        except OSError:
            # The entry has closed; its caller tells what it got.
            return

    def configure(self, version: int, path_prefix: str = "/x/") -> None:
        """Write a configuration whose only route has a path prefix."""
        route = {
            "name": "x",
            "host": HOST,
            "path_prefix": path_prefix,
            "kind": self.options.kind,
            "timeout_ms": self.options.timeout_ms,
            "target_latency_ms": self.options.timeout_ms,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 2,
            "public": True,
        }
        limits = {
            "max_header_bytes": 4000,
            "max_body_bytes": 4000,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 60_000,
        }
        configuration = {
            "version": version,
            "routes": [route],
            "services": [{"name": SERVICE, "max_connections": 500}],
            "limits": limits,
            "tenants": [],
        }
        self.store.put("config", "main", configuration)

    def _register_targets(self) -> None:
        for number, target in enumerate(self.targets):
            registration = {
                "service": SERVICE,
                "address": target.address,
                "zone": "z1",
                "slots": 500,
                "version": "v1",
                "state": "ready",
                "cold_remaining_ms": 0,
                "seq": 1,
            }
            self.store.put("servers", f"t{number}", registration)

    def _make_entries(self) -> list[EntryProcess]:
        made = []
        for number in range(self.options.entries):
            ip = f"127.0.0.{FIRST_ENTRY_IP + number}"
            port, ready, internal = _free_ports(ip, 3)
            entry = EntryProcess(
                name=f"e{number}", ip=ip, port=port, ready=ready
            )
            text = SETTINGS.format(
                name=entry.name,
                ip=ip,
                internal=internal,
                store=self.store.address,
                port=port,
                ready=ready,
                grace_s=float(self.options.grace_s),
            )
            (self.folder / f"{entry.name}.toml").write_text(text)
            made.append(entry)
        return made

    def run(
        self, plan: Callable[["RestartRun"], list[float]]
    ) -> RestartResult:
        """Carry out a plan under load.

        Parameters
        ----------
        plan
            Stops and starts entries; returns the time that each stop took,
            in seconds.
        """
        callers = []
        try:
            for entry in self.entries:
                entry.start(self.folder)
            self.started_at = time.monotonic()
            callers = [
                eventlet.spawn(self._call, entry, f"{entry.name}-{number}")
                for entry in self.entries
                for number in range(self.options.callers)
            ]
            eventlet.sleep(CALM_S)
            stop_s = plan(self)
            eventlet.sleep(CALM_S)
            self.ended = True
            for caller in callers:
                caller.wait()
        finally:
            for caller in callers:
                caller.kill()
            for entry in self.entries:
                entry.kill()
            for target in self.targets:
                target.stop()
            self.store.stop()
        return RestartResult(
            totals=dict(self.totals),
            after_stop=dict(self.after_stop),
            stop_s=[round(seconds, 2) for seconds in stop_s],
            rows=[
                RestartRow(second=second, counts=dict(counts))
                for second, counts in sorted(self.by_second.items())
            ],
        )

    def _call(self, entry: EntryProcess, name: str) -> None:
        """Ask an entry again and again, on one connection at a time."""
        number = 0
        sock = None
        while not self.ended:
            stopping = entry.stopped_at is not None
            sent_at = time.monotonic()
            number += 1
            request_id = f"{name}-{number}"
            if sock is None:
                try:
                    sock = socket.create_connection((entry.ip, entry.port), 1)
                except OSError:
                    self._record(Got.NO_ENTRY, stopping, sent_at)
                    eventlet.sleep(RECONNECT_S)
                    continue
            got, keeps = self._ask(sock, request_id)
            # A signal that came during the request concerns it too.
            stopping = stopping or entry.stopped_at is not None
            self._record(got, stopping, sent_at)
            if not keeps:
                sock.close()
                sock = None
            if got is not Got.ANSWERED:
                eventlet.sleep(REPEAT_S)
        if sock is not None:
            sock.close()

    def _ask(self, sock: socket.socket, request_id: str) -> tuple[Got, bool]:
        """Send a request; return what came, and whether to go on here."""
        timeout_ms = self.options.timeout_ms
        sock.settimeout(timeout_ms / 1000 + PATIENCE_S)
        request = REQUEST % (HOST, request_id, timeout_ms)
        data = b""
        try:
            sock.sendall(request.encode())
            while not _is_whole(data):
                part = sock.recv(65536)
                if not part:
                    break
                data += part
        except OSError:
            # A reset or silence, judged by what has come.
            pass
        if not _is_whole(data):
            passed_on = request_id in self.passed_on
            return (Got.CUT if passed_on else Got.CLOSED), False
        head = data.partition(b"\r\n\r\n")[0].lower()
        status = int(head.split(b" ")[1])
        got = {200: Got.ANSWERED, 503: Got.REFUSED}.get(status, Got.FAILED)
        return got, b"connection: close" not in head

    def _record(self, got: Got, stopping: bool, sent_at: float) -> None:
        self.totals[got.value] += 1
        if stopping:
            self.after_stop[got.value] += 1
        second = int(sent_at - self.started_at)
        counts = self.by_second.setdefault(second, collections.Counter())
        counts[got.value] += 1


def roll(run: RestartRun) -> list[float]:
    """Restart the entries one after the other; return their stops' times."""
    stop_s = []
    for entry in run.entries:
        stop_s.append(entry.stop())
        entry.start(run.folder)
        eventlet.sleep(CALM_S)
    return stop_s


def run_restart(
    options: RestartOptions,
    plan: Callable[[RestartRun], list[float]] = roll,
) -> RestartResult:
    """Restart entries under load, one by one or as planned.

    Load: callers on kept connections who go on at an entry's address as long
    as anybody listens there, which is harder than behind a load balancer.
    """
    with tempfile.TemporaryDirectory() as folder:
        run = RestartRun(options=options, folder=pathlib.Path(folder))
        return run.run(plan)


def plot_restart(result: RestartResult, file: str) -> None:
    """Write a plot of what callers got in each second.

    Raises
    ------
    ImportError
        matplotlib is not installed (the extra ``plot``).
    """
    from matplotlib import figure  # loaded only for plots

    drawn = figure.Figure(figsize=(8, 4))
    axes = drawn.add_subplot()
    seconds = [row.second for row in result.rows]
    for got in Got:
        counts = [row.counts.get(got.value, 0) for row in result.rows]
        if any(counts):
            axes.step(seconds, counts, where="post", label=got.value)
    axes.set_xlabel("time in s")
    axes.set_ylabel("requests a second")
    axes.legend()
    drawn.savefig(file)


def restart_table(result: RestartResult) -> list[str]:
    """Return lines of a table of what callers got in each second."""
    names = [got.value for got in Got]
    lines = ["second  " + "".join(f"{name:>10}" for name in names)]
    lines += [
        f"{row.second:>6}  "
        + "".join(f"{row.counts.get(name, 0):>10}" for name in names)
        for row in result.rows
    ]
    return lines


def _is_whole(data: bytes) -> bool:
    """Whether an answer with a length has arrived as a whole."""
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return False


def _free_ports(ip: str, count: int) -> list[int]:
    """Return ports of an address that were just free."""
    sockets = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports
