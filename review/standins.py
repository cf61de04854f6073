"""Stand-ins and tools that the scripts of this review share.

Everything here speaks the users' pages (PROTOCOL.md and the letters) over
loopback addresses, in the process of the script. Only the project's own
programs run as separate processes.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
DEPENDENCIES = REPOSITORY / "target" / "deps"
MODEL = "daka510000"
HEARTBEAT_S = 1.2
STORE_HISTORY = 4000
MAX_PLAY_S = 116.0
REASONS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected Request",
    503: "Service Unavailable",
}
# Bounds of the users' small deployments (sites/hafez-intake.toml).
BOUNDS = {
    "version_ms": 8000,
    "drain_ms": 2000,
    "stable_window_ms": 3000,
    "grace_s": 8,
    "retry_ratio": 0.2,
    "retry_extra": 104,
}
# Arithmetic of the engines there.
ENGINE = {
    "slots": 16,
    "kv_capacity_tokens": 1640000,
    "kv_token_bytes": 163840,
    "stride": 6,
    "models": [{"name": MODEL, "pace": 1.0}],
    "mb": 282000.0,
    "step_ms": 6.73,
    "per_seq_ms": 0.0219,
    "context_per_k": 0.0068,
    "read_per_s": 30600.0,
    "pairs_per_m": 0.647,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "chunks": 64,
    "chunk_bytes": 32768,
    "usual": {"prompt": 1290, "answer": 144},
}


class Record:
    """Writes what happens to ``record.txt``, with the time since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Start an empty record."""
        self.started = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def say(self, text: str) -> None:
        """Write a line."""
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


@dataclasses.dataclass
class Message:
    """A request or a response, with header names in lower case."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first.split(" ")[1]

    @property
    def id(self) -> str:
        """The request id."""
        return self.headers.get("x-zinniadyke-request-id", "")


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a start line and headers."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers, b"")


async def read_request(reader: asyncio.StreamReader) -> Message:
    """Read a request whose body has a length."""
    message = await read_head(reader)
    size = int(message.headers.get("content-length", 0))
    message.body = await reader.readexactly(size)
    return message


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Encode the head of a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_response(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Encode a response with a length."""
    return encode_head(status, headers | {"Content-Length": len(body)}) + body


class HttpServer:
    """Serves connections of an ``ip:port`` with a function per request."""

    def __init__(self, address: str) -> None:
        """Prepare to listen."""
        self.address = address
        self.server: asyncio.Server | None = None
        self.connections: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 20
        )

    async def stop(self) -> None:
        """Stop to listen and drop all connections, as a crash does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in list(self.connections):
            task.cancel()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self.connections.add(task)
        try:
            while True:
                request = await read_request(reader)
                await self.answer(request, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self.connections.discard(task)
            writer.close()

    async def answer(self, request: Message, reader, writer) -> None:
        """Answer a request."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: objects of kinds, lists and watches.

    A spec is kept as the JSON text that its writer sent.
    """

    def __init__(self, address: str) -> None:
        """Start without objects."""
        super().__init__(address)
        self.revision = 1
        self.objects: dict[str, dict[str, str]] = {}
        self.changes: list[tuple[int, str, bool, str]] = []
        self.changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object."""
        self.put_text(kind, name, json.dumps(spec))

    def put_text(self, kind: str, name: str, spec: str) -> None:
        """Write an object whose spec is a JSON text."""
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": 1,
            "finalizers": [],
            "deleting": False,
        }
        stored = (
            f'{{"metadata":{json.dumps(metadata)},'
            f'"spec":{spec},"status":null}}'
        )
        self.objects.setdefault(kind, {})[name] = stored
        self._record(kind, False, stored)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._record(kind, True, stored)

    def _record(self, kind: str, removed: bool, stored: str) -> None:
        self.changes.append((self.revision, kind, removed, stored))
        del self.changes[:-STORE_HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, request: Message, reader, writer) -> None:
        """Answer a list, a watch, a read or a write."""
        path, _, query = request.target.partition("?")
        parts = path.strip("/").split("/")
        kind = parts[2] if len(parts) > 2 else ""
        options = dict(p.partition("=")[::2] for p in query.split("&") if p)
        if request.method != "GET":
            # No test here needs what the system writes.
            status, body = 409, "{}"
            stored = self.objects.get(kind, {}).get(parts[3], "{}")
            if request.method == "PUT":
                status, body = 200, stored
        elif len(parts) > 3:
            body = self.objects.get(kind, {}).get(parts[3])
            status, body = (200, body) if body else (404, "{}")
        elif "watch" in options:
            status, body = await self._watch(
                kind, int(options["watch"]), int(options["wait_ms"]) / 1000
            )
        else:
            items = ",".join(self.objects.get(kind, {}).values())
            status = 200
            body = (
                f'{{"items":[{items}],"has_more":false,'
                f'"current_rev":{self.revision}}}'
            )
        writer.write(
            encode_response(
                status,
                {"Content-Type": "application/json", "Store-Era": "1"},
                body.encode(),
            )
        )

    async def _watch(self, kind: str, since: int, wait_s: float):
        if self.changes and since < self.changes[0][0] - 1:
            return 410, "{}"
        deadline = time.monotonic() + wait_s
        while True:
            found = [
                f'{{"object":{stored},"removed":{str(removed).lower()}}}'
                for revision, changed, removed, stored in self.changes
                if changed == kind and revision > since
            ]
            left_s = deadline - time.monotonic()
            if found or left_s <= 0:
                return 200, (
                    f'{{"events":[{",".join(found)}],'
                    f'"current_rev":{self.revision}}}'
                )
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)


class Server(HttpServer):
    """A server of a service: registers itself and runs requests.

    Attributes
    ----------
    running
        Ids of the requests that run now.
    runs
        Ids of all requests that have begun to run.
    bodies
        Body of each of these, by id.
    answered
        Ids of those that were answered whole.
    dropped
        Ids of those whose connection ended first.
    """

    ids = itertools.count(1)

    def __init__(
        self,
        address: str,
        *,
        store: Store,
        record: Record,
        service: str,
        zone: str,
        slots: int,
        queue: int = 0,
        work_s: float = 0.05,
        model: bool = False,
    ) -> None:
        """Start idle; ``model`` adds the API of a model server."""
        super().__init__(address)
        self.id = f"i-{next(self.ids):08x}"
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.model = model
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.places = asyncio.Semaphore(slots)
        self.held = 0
        self.running: set[str] = set()
        self.runs: list[str] = []
        self.bodies: dict[str, bytes] = {}
        self.answered: list[str] = []
        self.dropped: list[str] = []
        self.heart: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen and register."""
        await super().start()
        self.heart = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """Crash: nothing is said, the entry stays until it expires."""
        if self.heart is not None:
            self.heart.cancel()
        await super().stop()

    def models(self) -> list[dict]:
        """Return the models that the server holds."""
        return [{"name": MODEL, "version": 1, "adapters": []}]

    async def _beat(self) -> None:
        while True:
            self.beats += 1
            spec = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "born": self.born,
                "seq": self.beats,
            }
            if self.model:
                spec |= {"stage": "unified", "models": self.models()}
            self.store.put("servers", self.id, spec)
            await asyncio.sleep(HEARTBEAT_S)

    def head(self, request: Message) -> dict[str, str]:
        """Return the headers of all answers to a request."""
        running = len(self.running)
        return {
            "X-Zinniadyke-Request-Id": request.id,
            "X-Zinniadyke-Server-Stamp": f"{self.id}.{request.id}",
            "X-Zinniadyke-Server-Load": (
                f"{running},{max(self.held - running, 0)},{self.slots}"
            ),
        }

    async def answer(self, request: Message, reader, writer) -> None:
        """Answer a call, or run a request."""
        if request.target == "/v1/report" and self.model:
            report = {
                "stage": "unified",
                "models": self.models(),
                "busy": False,
                "seq": 0,
                "waiting": max(self.held - len(self.running), 0),
                "running": len(self.running),
                "kv_used": 0,
                "kv_total": 1640000,
                "handles": 0,
                "born": self.born,
            }
            writer.write(
                encode_response(
                    200,
                    {"Content-Type": "application/json"},
                    json.dumps(report).encode(),
                )
            )
            return
        if request.target == "/health":
            writer.write(
                encode_response(200, {"X-Zinniadyke-Instance-Id": self.id})
            )
            return
        expected = request.headers.get("x-zinniadyke-expect-instance")
        if expected not in (None, self.id):
            writer.write(
                encode_response(
                    421,
                    {"X-Zinniadyke-Instance-Id": self.id} | self.head(request),
                )
            )
            return
        if self.held >= self.slots + self.queue:
            self._turn_away(request, writer)
            return
        self.held += 1
        # Most servers drop a request when its connection closes.
        gone = asyncio.create_task(reader.read(1))
        work = asyncio.create_task(self._work(request, writer))
        try:
            await asyncio.wait(
                {gone, work}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                self.dropped.append(request.id)
                self.record.say(f"{self.id} drops {request.id}: client left")
                raise ConnectionResetError
            await work
        finally:
            for task in (gone, work):
                task.cancel()
                with contextlib.suppress(BaseException):
                    await task
            self.held -= 1
        # Callers of these tests use a connection once.
        raise ConnectionResetError

    def may_run(self) -> bool:
        """Whether a request that has waited may run now."""
        return True

    def _turn_away(self, request: Message, writer) -> None:
        self.record.say(f"{self.id} turns {request.id} away")
        headers = self.head(request) | {"X-Zinniadyke-Not-Executed": "1"}
        writer.write(encode_response(503, headers))

    async def _work(self, request: Message, writer) -> None:
        async with self.places:
            if not self.may_run():
                self._turn_away(request, writer)
                return
            self.runs.append(request.id)
            self.bodies[request.id] = request.body
            self.running.add(request.id)
            self.record.say(f"{self.id} runs {request.id}")
            try:
                await self.run(request, writer)
                await writer.drain()
                self.answered.append(request.id)
                self.record.say(f"{self.id} has answered {request.id}")
            finally:
                self.running.discard(request.id)

    async def run(self, request: Message, writer) -> None:
        """Run a request; answers with a short body after ``work_s``."""
        await asyncio.sleep(self.work_s)
        body = (
            b"" if request.method == "HEAD" else b"ran " + request.id.encode()
        )
        writer.write(encode_response(200, self.head(request), body))


class ModelServer(Server):
    """A model server: answers with a stream of events.

    The path of a request begins with the number of its events.
    """

    first_event_s = 0.06
    event_s = 0.045

    async def run(self, request: Message, writer) -> None:
        """Stream the events of a request."""
        count = int(request.target.split("/")[2])
        after = int(request.headers.get("last-event-id") or 0)
        await asyncio.sleep(self.first_event_s)
        head = self.head(request) | {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "X-Zinniadyke-Weight-Versions": "1",
        }
        writer.write(encode_head(200, head))
        for number in range(after + 1, count + 1):
            event = f"id: {number}\ndata: {request.id}.{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")


class Program:
    """One of the project's programs, started as the deploy file says."""

    def __init__(
        self,
        name: str,
        *,
        role: str,
        ip: str,
        zone: str,
        zones: dict[str, str],
        ports: list[int],
        store: str,
        folder: pathlib.Path,
        listen: dict[str, str] | None = None,
        target: tuple[str, str] | None = None,
        memory_mb: int = 300,
        link_mbps: float = 1000.0,
    ) -> None:
        """Write the settings that deploy/settings.toml.in would give."""
        self.name = name
        self.role = role
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.toml"
        self.process: subprocess.Popen | None = None
        regions = ", ".join(
            f'{{ zone = "{z}", region = "{r}" }}' for z, r in zones.items()
        )
        lines = [
            "[host]",
            f'name = "{name}"',
            f'zone = "{zone}"',
            f'region = "{zones[zone]}"',
            f'ip = "{ip}"',
            f"regions = [{regions}]",
            f"ports = {ports}",
            f"link_mbps = {link_mbps}",
            f"memory_mb = {memory_mb}",
            "[listen]",
            *[f'{k} = "{v}"' for k, v in (listen or {}).items()],
            "[target]",
        ]
        if target is not None:
            lines += [f'address = "{target[0]}"', f'service = "{target[1]}"']
        lines += ["[store]", f'address = "{store}"', "[bounds]"]
        lines += [f"{k} = {v}" for k, v in BOUNDS.items()]
        lines += ["[metrics]", f'address = "{ip}:{free_port([ip])}"']
        lines += ["[log]", 'level = "info"']
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self) -> None:
        """Start the program, or start it again."""
        with self.log.open("a") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "zinniadyke", self.role],
                cwd=REPOSITORY,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(DEPENDENCIES),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "ZINNIADYKE_CONFIG": str(self.settings),
                },
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the program if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the program."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    async def wait_end(self, limit_s: float) -> None:
        """Wait until the program has ended; kill it after a time."""
        deadline = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
        self.end()


class Deployment:
    """A store, servers of one plain service, and gateways in two zones.

    Attributes
    ----------
    gateways
        Addresses at which the gateways take requests.
    servers
        Servers of the service, each in another zone.
    """

    host = "hulo84.example"
    prefix = "/xapu221/"
    service = "kafi81c"
    zones = {"cairo-hall-a": "cairo", "alex-hall-b": "alex"}
    gateway_ips = {"front-cairo": "127.0.0.11", "front-alex": "127.0.0.12"}
    store_ip = "127.0.0.10"
    server_ips = ("127.0.0.21", "127.0.0.22")
    other_ip = "127.0.0.23"

    def __init__(
        self,
        *,
        record: Record,
        scratch: pathlib.Path,
        programs: list[Program],
        kind: str = "idempotent",
        server_count: int = 2,
    ) -> None:
        """Prepare the processes; ``kind`` is that of the only route."""
        ips = [
            *self.gateway_ips.values(),
            self.store_ip,
            *self.server_ips,
            self.other_ip,
        ]
        self.port, self.ready, internal = (free_port(ips) for _ in range(3))
        self.record = record
        self.programs = programs
        self.store = Store(f"{self.store_ip}:{self.port}")
        self.store.put("config", "main", self._configuration(kind))
        self.gateways = [
            f"{ip}:{self.port}" for ip in self.gateway_ips.values()
        ]
        self.servers = [
            Server(
                f"{ip}:{self.port}",
                store=self.store,
                record=record,
                service=self.service,
                zone=zone,
                slots=6,
                queue=24,
            )
            for ip, zone in zip(
                self.server_ips[:server_count], self.zones, strict=False
            )
        ]
        for (name, ip), zone in zip(
            self.gateway_ips.items(), self.zones, strict=True
        ):
            program = Program(
                name,
                role="gateway",
                ip=ip,
                zone=zone,
                zones=self.zones,
                ports=[internal, internal],
                store=self.store.address,
                folder=scratch,
                listen={
                    "requests": f"{ip}:{self.port}",
                    "ready": f"{ip}:{self.ready}",
                },
            )
            programs.append(program)

    def _configuration(self, kind: str) -> dict:
        return {
            "version": 7,
            "routes": [
                {
                    "name": "r-2xp4zhp",
                    "host": self.host,
                    "path_prefix": self.prefix,
                    "kind": kind,
                    "timeout_ms": 1500,
                    "target_latency_ms": 405,
                    "priority": 2,
                    "service": self.service,
                    "max_attempts": 2,
                    "public": True,
                }
            ],
            "services": [
                {
                    "name": self.service,
                    "health_path": "/health",
                    "max_connections": 110,
                }
            ],
            "tenants": [],
        }

    async def start(self) -> None:
        """Start everything and wait until the gateways are ready."""
        await self.store.start()
        for server in self.servers:
            await server.start()
        for program in self.programs:
            program.start()
        for ip in self.gateway_ips.values():
            await wait_ready(f"{ip}:{self.ready}")

    async def ask(
        self, address: str, method: str = "GET", deadline_ms: int = 1518
    ) -> tuple[str, int]:
        """Send one request on a new connection; return its id and status.

        The status is 0 if no answer comes.
        """
        client = Client(address)
        request = ""
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                request = await client.send(
                    method,
                    f"{self.prefix}bo77/2f",
                    host=self.host,
                    deadline_ms=deadline_ms,
                    body=b"{}" if method == "POST" else b"",
                )
                self.record.say(f"{address}: {method} {request} is sent")
                _, status = await client.read(method)
        except (OSError, TimeoutError, EOFError) as error:
            self.record.say(f"{address}: {request} gets no answer: {error!r}")
            return request, 0
        finally:
            client.close()
        self.record.say(f"{address}: {request} gets {status}")
        return request, status

    async def ask_all(
        self, count: int, interval_s: float, method: str = "GET"
    ) -> dict[str, int]:
        """Send requests to all gateways in turn; return ids and statuses."""
        async with asyncio.TaskGroup() as group:
            tasks = []
            for number in range(count):
                address = self.gateways[number % len(self.gateways)]
                tasks.append(group.create_task(self.ask(address, method)))
                await asyncio.sleep(interval_s)
        return dict(task.result() for task in tasks)


class Client:
    """A client's connection, which it keeps for several requests."""

    ids = itertools.count(1)

    def __init__(self, address: str) -> None:
        """Prepare; the connection opens with the first request."""
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        method: str,
        path: str,
        *,
        host: str,
        deadline_ms: int,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> str:
        """Send a request and return its id."""
        if self.writer is None:
            ip, _, port = self.address.rpartition(":")
            self.reader, self.writer = await asyncio.open_connection(
                ip, int(port)
            )
        request_id = f"{next(self.ids):016x}"
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"X-Zinniadyke-Request-Id: {request_id}",
            f"X-Zinniadyke-Deadline-Ms: {deadline_ms}",
            *[f"{k}: {v}" for k, v in (headers or {}).items()],
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()
        return request_id

    async def read(self, method: str = "GET") -> tuple[Message, int]:
        """Read a response as RFC 9112 says; return it with its status.

        Raises an error if the connection ends before the response does, or
        if what arrives is no response.
        """
        message = await read_head(self.reader)
        version, _, rest = message.first.partition(" ")
        if version != "HTTP/1.1" or not rest[:3].isdigit():
            raise ValueError(f"no HTTP response: {message.first!r}")
        status = int(rest[:3])
        if method == "HEAD" or status in (204, 304):
            pass
        elif message.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                data = await self.reader.readexactly(size + 2)
                if not size:
                    break
                message.body += data[:-2]
        elif "content-length" in message.headers:
            size = int(message.headers["content-length"])
            message.body = await self.reader.readexactly(size)
        else:
            message.body = await self.reader.read(-1)
        return message, status

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
            self.reader = self.writer = None


def free_port(ips: list[str]) -> int:
    """Return a TCP and UDP port that is free on all addresses."""
    while True:
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(socket.socket())
            first.bind((ips[0], 0))
            port = first.getsockname()[1]
            try:
                for ip in ips[1:]:
                    other = stack.enter_context(socket.socket())
                    other.bind((ip, port))
                for ip in ips:
                    other = stack.enter_context(
                        socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    )
                    other.bind((ip, port))
            except OSError:
                continue
            return port


async def wait_ready(address: str, limit_s: float = 30.0) -> None:
    """Wait until a gateway answers GET /v1/ready with 200.

    Raises
    ------
    TimeoutError
        It does not in time.
    """
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        if await is_ready(address):
            return
        await asyncio.sleep(0.1)
    raise TimeoutError(f"{address} is not ready after {limit_s} s")


async def is_ready(address: str) -> bool:
    """Return whether a gateway answers GET /v1/ready with 200."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            message = await read_head(reader)
            return " 200 " in message.first
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False
    finally:
        if writer is not None:
            writer.close()


def main(scenario, folder: pathlib.Path) -> None:
    """Play a scenario and exit with 1 if it says that the rule was broken.

    Parameters
    ----------
    scenario
        Coroutine function that takes the record, a temporary folder, a list
        for the programs that it starts, and whether there is trouble. It
        returns the lines that say how the rule was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    programs: list[Program] = []
    scratch = pathlib.Path(tempfile.mkdtemp())

    async def play() -> None:
        code, lines = 2, []
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        try:
            async with asyncio.timeout(MAX_PLAY_S):
                broken = await scenario(record, scratch, programs, trouble)
            code = 1 if broken else 0
            lines = [f"BROKEN: {b}" for b in broken] or ["the rule held"]
        except (Exception, asyncio.CancelledError) as error:
            lines = [f"the case could not run: {error!r}"]
        finally:
            for program in programs:
                program.end()
            if os.environ.get("KEEP_LOGS"):
                for log in scratch.glob("*.log"):
                    shutil.copy(log, folder)
            shutil.rmtree(scratch, ignore_errors=True)
        for line in lines:
            record.say(line)
            print(line, flush=True)
        # Connections that are still open need no orderly end.
        os._exit(code)

    asyncio.run(play())
