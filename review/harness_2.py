"""Runs the project's programs beside small stand-ins, for review/6 to 10.

The stand-ins are the platform's store, application servers, model servers,
the origin of weights and clients. All of them are threads of the scenario;
the project's programs are processes of their own.
"""

import collections
import hashlib
import http.client
import json
import os
import pathlib
import random
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from urllib import parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
READ_BYTES = 65536
MODEL = "m-aida1"
PIECES = 64
PIECE_BYTES = 32768
LAYERS = 16
KEY = "jnbanfqasnmgkcuyj8pj"
ZONE = "cairo-hall-a"
REGION = "cairo"
# As on the sheet of hafez-intake.
BOUNDS = {
    "version_ms": 8000,
    "drain_ms": 2000,
    "stable_window_ms": 3000,
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "budget_extra": 104,
    "budget_window_s": 10,
}
STARTED = time.monotonic()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


# A case ends by itself before it has run for 120 s.
LONGEST_S = 112.0


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """Writes what happened to ``record.txt`` of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.lock = threading.Lock()

    def write(self, text: str) -> None:
        """Write a line with the time since the start of the case."""
        with self.lock:
            self.file.write(f"{time.monotonic() - STARTED:8.3f} {text}\n")
            self.file.flush()


class Network:
    """Loopback addresses for the machines of one run."""

    def __init__(self) -> None:
        self.prefix = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self.hosts = 0

    def new_ip(self) -> str:
        """Return the address of a new machine."""
        self.hosts += 1
        return f"{self.prefix}.{self.hosts}"


def free_port(ip: str) -> int:
    """Return a free TCP port of an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def read_head(sock: socket.socket) -> tuple[str, dict[str, str], bytes]:
    """Return request line, headers in lower case, and bytes of the body."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(READ_BYTES)
        if not part:
            raise ConnectionError("closed")
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    while len(body) < length:
        part = sock.recv(READ_BYTES)
        if not part:
            raise ConnectionError("closed")
        body += part
    return first, headers, body


class HttpServer:
    """Accepts connections and answers one request after the other."""

    def __init__(self, ip: str, port: int = 0) -> None:
        self.socket = socket.create_server((ip, port), backlog=512)
        self.address = f"{ip}:{self.socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.socket.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            with sock:
                while True:
                    first, headers, body = read_head(sock)
                    method, target, _ = first.split(" ", 2)
                    self.handle(sock, method, target, headers, body)
        except (OSError, ValueError):
            return

    def handle(self, sock, method, target, headers, body) -> None:
        """Answer a request; implemented by each stand-in."""
        raise NotImplementedError


def send_answer(
    sock: socket.socket, status: int, body: bytes = b"", **headers: str
) -> None:
    """Send a complete answer."""
    lines = [f"HTTP/1.1 {status} {http.client.responses.get(status, '')}"]
    lines += [f"{n.replace('_', '-')}: {v}" for n, v in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def send_json(sock: socket.socket, status: int, value: object) -> None:
    """Send a value as JSON."""
    send_answer(
        sock,
        status,
        json.dumps(value).encode(),
        Content_Type="application/json",
    )


class Store(HttpServer):
    """The platform's store: objects, lists and watches."""

    def __init__(self, ip: str) -> None:
        self.condition = threading.Condition()
        self.revision = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self.changes: list[tuple[int, str, dict, bool]] = []
        super().__init__(ip)

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write a spec as the operator or a server; return the revision."""
        with self.condition:
            status = self.objects.get(kind, {}).get(name, {}).get("status")
            self._store(kind, name, spec, status)
            return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self.condition:
            stored = self.objects.get(kind, {}).pop(name, None)
            if stored is not None:
                self.revision += 1
                self.changes.append((self.revision, kind, stored, True))
                self.condition.notify_all()

    def _store(self, kind, name, spec, status) -> dict:
        self.revision += 1
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": 1,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self.changes.append((self.revision, kind, stored, False))
        self.condition.notify_all()
        return stored

    def handle(self, sock, method, target, headers, body) -> None:
        """Serve a call."""
        url = parse.urlsplit(target)
        query = {n: v[0] for n, v in parse.parse_qs(url.query).items()}
        _, _, rest = url.path.partition("/v1/objects/")
        kind, _, name = rest.partition("/")
        if method in ("PUT", "POST"):
            self._write(sock, method, kind, name, json.loads(body))
        elif name:
            with self.condition:
                found = self.objects.get(kind, {}).get(parse.unquote(name))
            send_json(sock, 200 if found else 404, found)
        elif "watch" in query:
            self._watch(sock, kind, query)
        else:
            after = query.get("after", "")
            with self.condition:
                found = self.objects.get(kind, {})
                items = [found[n] for n in sorted(found) if n > after]
                revision = self.revision
            send_json(
                sock,
                200,
                {"items": items, "has_more": False, "current_rev": revision},
            )

    def _write(self, sock, method, kind, name, wanted) -> None:
        is_status = name.endswith("/status")
        name = parse.unquote(name.removesuffix("/status"))
        name = name or wanted["metadata"]["name"]
        expected = wanted["metadata"].get("revision", 0)
        with self.condition:
            found = self.objects.get(kind, {}).get(name)
            status = 200
            if method == "POST" and found:
                status = 409
            elif method == "PUT" and not found:
                status = 404
            elif found and expected not in (0, found["metadata"]["revision"]):
                status = 409
            else:
                spec = wanted.get("spec")
                own = found["status"] if found else None
                if is_status:
                    spec, own = found["spec"], wanted["status"]
                found = self._store(kind, name, spec, own)
        send_json(sock, status, found)

    def _watch(self, sock, kind, query) -> None:
        since = int(query["watch"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000

        def changed() -> list[dict]:
            return [
                {"object": stored, "removed": removed}
                for revision, of_kind, stored, removed in self.changes
                if of_kind == kind and revision > since
            ]

        with self.condition:
            while not (events := changed()):
                left = end - time.monotonic()
                if left <= 0 or not self.condition.wait(left):
                    break
            answer = {"events": events, "current_rev": self.revision}
        send_json(sock, 200, answer)


class Server(HttpServer):
    """An application server that registers itself in the store.

    Attributes
    ----------
    runs
        Time, id and version of each request that it began to run.
    """

    def __init__(
        self,
        *,
        record: Record,
        store: Store,
        ip: str,
        name: str,
        service: str,
        slots: int = 16,
        work_s: float = 0.02,
    ) -> None:
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.runs: list[tuple[float, str, int]] = []
        self.running = 0
        super().__init__(ip)

    def spec(self) -> dict:
        """Return what it registers."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 0,
        }

    def register(self) -> None:
        """Write the registration."""
        self.store.put("servers", self.name, self.spec())

    def handle(self, sock, method, target, headers, body) -> None:
        """Run a request, unless another instance is expected."""
        expected = headers.get("x-zinniadyke-expect-instance", self.name)
        request = headers.get("x-zinniadyke-request-id", "")
        if expected != self.name:
            send_answer(
                sock,
                421,
                X_Zinniadyke_Request_Id=request,
                X_Zinniadyke_Not_Executed="1",
            )
            return
        self.running += 1
        try:
            self.run(sock, request, headers)
        finally:
            self.running -= 1

    def note_run(self, request: str, version: int = 0) -> None:
        """Record that a request began to run."""
        self.runs.append((time.monotonic(), request, version))
        self.record.write(f"{self.name} runs {request} on {version}")

    def run(self, sock, request, headers) -> None:
        """Run a request and answer it."""
        self.note_run(request)
        time.sleep(self.work_s)
        send_answer(
            sock,
            200,
            b"a" * 400,
            X_Zinniadyke_Request_Id=request,
            X_Zinniadyke_Server_Stamp=f"stamp-{request}",
        )


def send_stream_head(sock, request: str, **more: str) -> None:
    """Send the head of a stream of events."""
    fields = {
        "X-Zinniadyke-Request-Id": request,
        "X-Zinniadyke-Server-Stamp": f"stamp-{request}",
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
        **{n.replace("_", "-"): v for n, v in more.items()},
    }
    lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in fields.items())]
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())


def chunk(data: bytes) -> bytes:
    """Return a chunk; an empty one ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def piece_of(version: int, index: int) -> bytes:
    """Return the right bytes of a piece."""
    seed = hashlib.sha256(f"{version}/{index}".encode()).digest()
    return seed * (PIECE_BYTES // len(seed))


def digest_of(version: int, index: int) -> str:
    """Return the digest of a piece."""
    return hashlib.sha256(piece_of(version, index)).hexdigest()


class ModelServer(Server):
    """A model server that holds version 1 at the start."""

    def __init__(self, *, warmup_s: float = 0.3, **options) -> None:
        self.version = 1
        self.warmup_s = warmup_s
        self.busy = False
        self.orders = 0
        self.events = 6
        self.event_s = 0.05
        self.staged = {n: piece_of(1, n) for n in range(PIECES)}
        super().__init__(**options)

    def held(self) -> dict:
        """Return what it says of its weights."""
        return {
            "stage": "unified",
            "models": [
                {"name": MODEL, "version": self.version, "adapters": []}
            ]
            if self.version
            else [],
            "layers": {"from": 0, "target": LAYERS, "version": self.version},
        }

    def spec(self) -> dict:
        """Return what it registers."""
        return {**super().spec(), **self.held(), "seq": self.orders}

    def handle(self, sock, method, target, headers, body) -> None:
        """Serve the interface for weights, or run a request."""
        url = parse.urlsplit(target)
        query = {n: v[0] for n, v in parse.parse_qs(url.query).items()}
        if url.path == "/v1/report":
            self.report(sock)
        elif url.path == "/v1/order":
            self.order(sock, json.loads(body))
        elif url.path.startswith("/v1/stage-put/"):
            self.staged[int(query["item_count"])] = body
            send_answer(sock, 200)
        elif url.path.startswith("/v1/stage-get/"):
            self.read_staged(sock, query)
        else:
            super().handle(sock, method, target, headers, body)

    def report(self, sock) -> None:
        """Tell the state."""
        send_json(
            sock,
            200,
            {
                **self.held(),
                "busy": self.busy,
                "seq": self.orders,
                "waiting": 0,
                "running": self.running,
                "kv_used": 0,
                "kv_total": 90000,
                "handles": 0,
            },
        )

    def read_staged(self, sock, query) -> None:
        """Send a staged piece, or list those that are staged."""
        if "item_count" not in query:
            send_json(sock, 200, {"held": sorted(self.staged)})
            return
        piece = self.staged.get(int(query["item_count"]))
        if piece is None:
            send_answer(sock, 404)
        else:
            send_answer(sock, 200, piece)

    def order(self, sock, order) -> None:
        """Accept an order, and load what is staged at this moment."""
        if self.busy or order.get("expected", self.orders) != self.orders:
            send_answer(sock, 409)
            return
        self.orders += 1
        self.busy = True
        self.record.write(f"{self.name} accepts {order}")
        self.accepted(order)
        threading.Thread(
            target=self.load, args=(order["version"],), daemon=True
        ).start()
        send_answer(sock, 202)

    def accepted(self, order: dict) -> None:
        """Note what is staged as an order is accepted."""

    def load(self, version: int) -> None:
        """Load a version after the running requests, and register it."""
        while self.running:
            time.sleep(0.01)
        time.sleep(self.warmup_s)
        self.version = version
        self.busy = False
        self.record.write(f"{self.name} holds version {version}")
        self.register()

    def run(self, sock, request, headers) -> None:
        """Send a short stream; a switch of weights comes after it."""
        if self.busy:
            send_answer(
                sock,
                503,
                X_Zinniadyke_Request_Id=request,
                X_Zinniadyke_Not_Executed="1",
            )
            return
        self.note_run(request, self.version)
        send_stream_head(
            sock,
            request,
            X_Zinniadyke_Weight_Versions=str(self.version),
        )
        after = int(headers.get("last-event-id", 0))
        for number in range(after + 1, self.events + 1):
            sock.sendall(chunk(b"id: %d\ndata: token\n\n" % number))
            time.sleep(self.event_s)
        sock.sendall(chunk(b""))


class Origin(HttpServer):
    """The service that hands out manifests and pieces."""

    def handle(self, sock, method, target, headers, body) -> None:
        """Send a manifest or a piece."""
        url = parse.urlsplit(target)
        query = {n: v[0] for n, v in parse.parse_qs(url.query).items()}
        version = int(query["version"])
        if url.path.startswith("/v1/manifest/"):
            send_json(
                sock,
                200,
                {
                    "model": MODEL,
                    "version": version,
                    "chunk_bytes": PIECE_BYTES,
                    "layers": LAYERS,
                    "digests": [digest_of(version, n) for n in range(PIECES)],
                },
            )
            return
        send_answer(sock, 200, piece_of(version, int(query["item_count"])))


class Proxy:
    """Passes bytes on between connections and one address.

    Attributes
    ----------
    muted
        Connections that pass nothing on any more, and end without notice.
    """

    def __init__(self, *, ip: str, target: str) -> None:
        self.target = target
        self.socket = socket.create_server((ip, 0), backlog=512)
        self.address = f"{ip}:{self.socket.getsockname()[1]}"
        self.open: set[tuple[socket.socket, socket.socket]] = set()
        self.muted: set[tuple[socket.socket, socket.socket]] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def mute(self) -> int:
        """Let all open connections go silent; return their number."""
        found = set(self.open)
        self.muted |= found
        return len(found)

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self.socket.accept()
                host, _, port = self.target.rpartition(":")
                far = socket.create_connection((host, int(port)))
            except OSError:
                return
            for sock in (near, far):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._pass_on, args=((near, far),), daemon=True
            ).start()

    def _pass_on(self, pair: tuple[socket.socket, socket.socket]) -> None:
        near, far = pair
        self.open.add(pair)
        try:
            while True:
                ready, _, _ = select.select(pair, (), (), 1.0)
                if pair in self.muted:
                    # Takes what comes, as a network that loses it would.
                    time.sleep(0.05)
                    continue
                for sock in ready:
                    data = sock.recv(READ_BYTES)
                    if pair in self.muted:
                        break
                    if not data:
                        return
                    (far if sock is near else near).sendall(data)
        except OSError:
            return
        finally:
            self.open.discard(pair)
            near.close()
            far.close()


def route(name: str, **more) -> dict:
    """Return a route in the operator's format."""
    return {
        "name": name,
        "host": "jepu9.example",
        "path_prefix": f"/{name}/",
        "kind": "non_idempotent",
        "timeout_ms": 6000,
        "target_latency_ms": 400,
        "priority": 1,
        "max_attempts": 2,
        "public": False,
        **more,
    }


def engine_service(name: str) -> dict:
    """Return a service of model servers in the operator's format."""
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": 364,
        "engine": {
            "slots": 16,
            "kv_capacity_tokens": 1640000,
            "kv_token_bytes": 163840,
            "stride": 6,
            "models": [{"name": MODEL, "pace": 1.0, "warmup_s": 0.3}],
            "mb": 282000.0,
            "step_ms": 6.73,
            "per_seq_ms": 0.0219,
            "context_per_k": 0.0068,
            "read_per_s": 30600.0,
            "pairs_per_m": 0.647,
            "chunk": 2048,
            "report_lag_ms": 200.0,
            "usual": {"prompt": 964, "answer": 119},
            "layers": LAYERS,
            "layer_mb": 4540.0,
            "chunks": PIECES,
            "chunk_bytes": PIECE_BYTES,
        },
    }


def configuration(routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration in the operator's format."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "bozi300", "api_keys": [KEY]}],
    }


class Program:
    """A process of the project on a machine of its own."""

    def __init__(
        self, *, folder: pathlib.Path, kind: str, name: str, fields: dict
    ) -> None:
        self.name = name
        self.kind = kind
        self.settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.settings.write_text(render_settings(fields))
        self.process: subprocess.Popen | None = None
        self.start()

    def start(self) -> None:
        """Start it with the command of the deploy file."""
        path = [str(REPOSITORY / "target" / "deps"), str(REPOSITORY)]
        with self.log.open("a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "zinniadyke", self.kind],
                cwd=REPOSITORY,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": os.pathsep.join(path),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "ZINNIADYKE_CONFIG": str(self.settings),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill it, also if it was stopped."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


def render_settings(fields: dict) -> str:
    """Render the project's settings template."""
    sys.path.insert(0, str(REPOSITORY))
    sys.path.insert(0, str(REPOSITORY / "target" / "deps"))
    from zinniadyke.platform import _template

    text = (REPOSITORY / "deploy" / "settings.toml.in").read_text()
    return _template.render_template(text, fields)


class Deployment:
    """A store, servers, and the project's programs beside them."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.record = Record(folder)
        self.network = Network()
        self.scratch = tempfile.TemporaryDirectory()
        self.programs: list[Program] = []
        self.store = Store(self.network.new_ip())
        self.store_address = self.store.address
        self.port = random.randint(12000, 30000)
        self.asked = 0

    def start_program(
        self, kind: str, name: str, ip: str, **more: object
    ) -> Program:
        """Start a gateway or sidecar on the machine of an address."""
        fields = {
            "node": name,
            "zone": ZONE,
            "region": REGION,
            "zones": {ZONE: REGION},
            "ip": ip,
            "internal_ports": [self.port, self.port + 15],
            "limits": {"memory_mb": 300, "link_mbps": 1000.0},
            "listen": {},
            "bounds": BOUNDS,
            "platform": {"address": self.store_address},
            **more,
        }
        program = Program(
            folder=pathlib.Path(self.scratch.name),
            kind=kind,
            name=name,
            fields=fields,
        )
        self.programs.append(program)
        return program

    def start_gateway(self, name: str, **more: object) -> "Gateway":
        """Start a gateway and wait until it is ready."""
        ip = self.network.new_ip()
        listen = {
            "front": f"{ip}:{free_port(ip)}",
            "ready": f"{ip}:{free_port(ip)}",
        }
        program = self.start_program(
            "gateway", name, ip, listen=listen, **more
        )
        gateway = Gateway(
            program=program, front=listen["front"], ready=listen["ready"]
        )
        end = time.monotonic() + 20
        while not gateway.is_ready():
            if time.monotonic() > end:
                raise CannotRunError(f"{name} is not ready")
            time.sleep(0.1)
        return gateway

    def close(self) -> None:
        """End all processes that were started."""
        for program in self.programs:
            program.end()
        logs = self.folder / "logs"
        if os.environ.get("KEEP_LOGS"):
            logs.mkdir(exist_ok=True)
            for program in self.programs:
                (logs / program.log.name).write_text(program.log.read_text())
        self.scratch.cleanup()


class Gateway:
    """A gateway process and its addresses."""

    def __init__(self, *, program: Program, front: str, ready: str) -> None:
        self.program = program
        self.front = front
        self.ready = ready

    def is_ready(self, timeout_s: float = 1.0) -> bool:
        """Ask as the platform does whether it takes connections."""
        connection = http.client.HTTPConnection(self.ready, timeout=timeout_s)
        try:
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Answer:
    """What a client got for one request.

    Attributes
    ----------
    status
        Status of a complete answer; 0 without one.
    took_s
        Time until the answer was complete, or until the client gave up.
    """

    def __init__(self, request: str) -> None:
        self.request = request
        self.began = time.monotonic()
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.problem = ""
        self.took_s = 0.0


class Client:
    """A client with a kept connection to one gateway."""

    def __init__(self, *, record: Record, address: str, name: str) -> None:
        self.record = record
        self.address = address
        self.name = name
        self.sent = 0
        self.connection: http.client.HTTPConnection | None = None

    def ask(
        self,
        path: str,
        *,
        deadline_ms: int,
        method: str = "POST",
        patience_s: float = 0.0,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send a request and wait for its answer.

        Parameters
        ----------
        patience_s
            Time until the client gives up; by default its deadline.
        """
        self.sent += 1
        answer = Answer(f"{self.name}-{self.sent}")
        wait_s = patience_s or deadline_ms / 1000
        if self.connection is None:
            self.connection = http.client.HTTPConnection(
                self.address, timeout=wait_s
            )
        fields = {
            "Host": "jepu9.example",
            "X-Zinniadyke-Request-Id": answer.request,
            "X-Zinniadyke-Deadline-Ms": str(deadline_ms),
            "X-Zinniadyke-Key": KEY,
            **(headers or {}),
        }
        try:
            self.connection.request(
                method, path, body=b"x" * 40, headers=fields
            )
            response = self.connection.getresponse()
            answer.body = response.read()
            answer.status = response.status
            answer.headers = {n.lower(): v for n, v in response.getheaders()}
            if response.will_close:
                self.close()
        except (OSError, http.client.HTTPException) as error:
            answer.problem = repr(error)
            self.close()
        answer.took_s = time.monotonic() - answer.began
        self.record.write(
            f"{answer.request} {path} -> {answer.status} {answer.problem}"
            f" after {answer.took_s:.3f} s"
        )
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def count_statuses(answers: list[Answer]) -> dict[int, int]:
    """Return how many answers had each status."""
    return dict(collections.Counter(a.status for a in answers))


def play(folder: str, scenario) -> None:
    """Play a scenario and exit with 1 if it returns that the rule broke.

    Exits with 0 if the rule held, and with 2 if the case could not run.
    """
    case = pathlib.Path(folder).resolve().parent
    deployment = Deployment(case)

    def end(code: int, result: str) -> None:
        deployment.record.write(f"result: {result}")
        deployment.close()
        print(f"{case.name}: {result}, exit {code}", flush=True)
        os._exit(code)

    timer = threading.Timer(LONGEST_S, end, (2, "cannot run: too slow"))
    timer.daemon = True
    timer.start()
    try:
        broken = scenario(deployment)
    except Exception as error:
        end(2, f"cannot run: {error!r}")
    end(int(broken), "rule broken" if broken else "rule held")
