"""Stand-ins and process control for the cases of the third review.

Everything here uses the standard library only. The stand-ins run in the
process of a case; the project's programs run as separate processes with the
commands of ``deploy/system.toml``.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
READ_BYTES = 65536
# Bounds of the site hafez-intake.
BOUNDS = {
    "version_ms": 8000,
    "drain_ms": 2000,
    "stable_window_ms": 3000,
    "grace_s": 8,
    "retry_ratio": 0.2,
    "retry_extra": 104,
    "retry_window_s": 10,
}
HEARTBEAT_S = 1.2
READY_CHECK_S = 0.2
START_LIMIT_S = 25.0
MODEL = "m1"
ENGINE_SERVICE = "drafting"
DESK_SERVICE = "desk"
HOST = "intake.example"
KEY = "key-1"
TENANT = "clinic"
CHUNKS = 16
CHUNK_BYTES = 2048
LAYERS = 16


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what happened to ``record.txt``, with times since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def write(self, text):
        """Write a line."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started


class Network:
    """Loopback addresses and ports that are free on all of them."""

    def __init__(self):
        self.prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.base = self._find_base()

    def ip(self, number):
        """Return the address of a host."""
        return f"{self.prefix}.{number}"

    def _find_base(self):
        for _ in range(50):
            base = random.randint(20000, 50000)
            if all(
                self._is_free(self.ip(n), base + p)
                for n in range(1, 40)
                for p in range(0, 6)
            ):
                return base
        raise CaseError("no free ports")

    @staticmethod
    def _is_free(ip, port):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                try:
                    sock.bind((ip, port))
                except OSError:
                    return False
        return True


class Request:
    """One HTTP request."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.path, _, query = target.partition("?")
        self.query = {k: v[0] for k, v in parse.parse_qs(query).items()}

    @property
    def id(self):
        """The request id; empty if there is none."""
        return self.headers.get("x-zinniadyke-request-id", "")


async def read_request(reader):
    """Return the next request of a connection; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", 0))
    if length:
        body = await reader.readexactly(length)
    return Request(method, target, headers, body)


def answer(status, body=b"", headers=()):
    """Return the bytes of a complete answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{n}: {v}" for n, v in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def answer_json(value, status=200):
    """Return the bytes of an answer with a JSON body."""
    return answer(
        status,
        json.dumps(value).encode(),
        [("Content-Type", "application/json")],
    )


class HttpServer:
    """Serves connections with a handler that returns bytes or None."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, ip, port):
        """Listen on an address."""
        self.server = await asyncio.start_server(
            self._serve, ip, port, limit=1 << 20, reuse_address=True
        )

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                data = await self.handle(request, writer)
                if data is None:
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Stop listening and end all connections, as a process exit does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.close()


class SilencingProxy:
    """Forwards connections; those that are open can be made silent.

    A silent connection stays open at both ends and carries nothing any more.
    Connections that are opened later work.
    """

    def __init__(self, to):
        self.to = to
        self.open = []
        self.server = None
        # Whether connections are silent from their start on.
        self.muted = False
        # Monotonic time at which each kind of object was asked for.
        self.asked_at = {}

    async def start(self, ip, port):
        """Listen on an address."""
        self.server = await asyncio.start_server(self._serve, ip, port)

    def silence(self):
        """Make all open connections silent; return how many."""
        silenced = [c for c in self.open if not c["silent"]]
        for connection in silenced:
            connection["silent"] = True
        return len(silenced)

    async def _serve(self, reader, writer):
        connection = {"silent": self.muted}
        self.open.append(connection)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.to)
        except OSError:
            writer.close()
            self.open.remove(connection)
            return
        pumps = [
            asyncio.ensure_future(self._pump(connection, reader, far_writer)),
            asyncio.ensure_future(self._pump(connection, far_reader, writer)),
        ]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        if connection["silent"]:
            # Nothing passes, not even the end of the connection.
            await asyncio.Event().wait()
        for pump in pumps:
            pump.cancel()
        writer.close()
        far_writer.close()
        self.open.remove(connection)

    def _note_call(self, data):
        """Note the time if these bytes begin a call that reads objects."""
        head, _, rest = data.partition(b"/v1/objects/")
        if head == b"GET ":
            kind = rest.split(b" ")[0].split(b"?")[0].decode()
            self.asked_at[kind] = time.monotonic()

    async def _pump(self, connection, reader, writer):
        try:
            while data := await reader.read(READ_BYTES):
                self._note_call(data)
                if connection["silent"]:
                    continue
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            return


class Store:
    """The platform's store: lists, watches and writes of a status."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.objects = {}
        self.changes = []
        self.changed = asyncio.Event()
        # Moments at which each kind was read: (time, kind, what).
        self.reads = []
        # Bytes that stand in answers for the JSON of some specs.
        self.raw = {}
        self.server = HttpServer(self._handle)

    def put(self, kind, name, spec, status=None):
        """Write an object, as the operator or a server does."""
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
        self._note(kind, stored, removed=False)

    def put_raw(self, kind, name, spec):
        """Write an object whose spec is any bytes, as another writer may."""
        self.put(kind, name, "")
        self.objects[kind][name]["spec"] = mark = f"raw:{name}"
        self.raw[json.dumps(mark).encode()] = spec

    def remove(self, kind, name):
        """Remove an object."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._note(kind, stored, removed=True)

    def _note(self, kind, stored, *, removed):
        self.changes.append((self.revision, kind, stored, removed))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _handle(self, request, writer):
        path = request.path.removeprefix("/v1/objects/")
        kind, _, name = path.partition("/")
        if request.method == "PUT" and name.endswith("/status"):
            return self._put_status(kind, name[: -len("/status")], request)
        if request.method != "GET":
            return answer_json({}, 404)
        if name:
            found = self.objects.get(kind, {}).get(parse.unquote(name))
            return answer_json(found or {}, 200 if found else 404)
        if "watch" in request.query:
            return await self._watch(kind, request.query)
        self.reads.append((time.monotonic(), kind, "list"))
        objects = self.objects.get(kind, {})
        after = request.query.get("after", "")
        return self._answer(
            {
                "items": [objects[n] for n in sorted(objects) if n > after],
                "has_more": False,
                "current_rev": self.revision,
            }
        )

    def _answer(self, value):
        body = json.dumps(value).encode()
        for mark, spec in self.raw.items():
            body = body.replace(mark, spec)
        return answer(200, body, [("Content-Type", "application/json")])

    async def _watch(self, kind, query):
        since = int(query["watch"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        self.reads.append((time.monotonic(), kind, "watch"))
        while not (events := self._events(kind, since)):
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                break
        return self._answer({"events": events, "current_rev": self.revision})

    def _events(self, kind, since):
        return [
            {"object": stored, "removed": removed}
            for revision, changed, stored, removed in self.changes
            if changed == kind and revision > since
        ]

    def _put_status(self, kind, name, request):
        current = self.objects.get(kind, {}).get(parse.unquote(name))
        if current is None:
            return answer_json({}, 404)
        wanted = json.loads(request.body)
        revision = wanted["metadata"].get("revision")
        if revision and revision != current["metadata"]["revision"]:
            return answer_json(current, 409)
        self.put(kind, name, current["spec"], wanted["status"])
        return answer_json(self.objects[kind][name])


def piece_of(version, index):
    """Return the right bytes of a piece."""
    seed = hashlib.sha256(f"{version}/{index}".encode()).digest()
    return (seed * (CHUNK_BYTES // len(seed) + 1))[:CHUNK_BYTES]


class Origin:
    """The origin of weights."""

    def __init__(self):
        self.server = HttpServer(self._handle)

    async def _handle(self, request, writer):
        version = int(request.query.get("version", 1))
        if request.path.startswith("/v1/manifest/"):
            return answer_json(
                {
                    "model": MODEL,
                    "version": version,
                    "chunk_bytes": CHUNK_BYTES,
                    "layers": LAYERS,
                    "digests": [
                        hashlib.sha256(piece_of(version, n)).hexdigest()
                        for n in range(CHUNKS)
                    ],
                }
            )
        index = int(request.query["item_count"])
        return answer(200, piece_of(version, index))


class Server:
    """A server of a service, with or without a model.

    Attributes
    ----------
    began
        Callback with each request that begins to run, and its version.
    arrived
        Callback with each request that arrives.
    """

    def __init__(self, *, record, store, name, service, zone, engine=False):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.engine = engine
        self.version = 1 if engine else 0
        self.staged = (
            {n: piece_of(1, n) for n in range(CHUNKS)} if engine else {}
        )
        self.seq = 0
        self.busy = False
        self.running = 0
        self.state = "ready"
        self.address = ""
        self.born = int(time.time() * 1000)
        self.first_s = 0.08
        self.gap_s = 0.02
        self.events = 4
        self.work_s = 0.06
        self.slots = 16 if engine else 6
        self.arrived = lambda server, request: None
        self.began = lambda server, request, version: None
        self.server = HttpServer(self._handle)
        self.beats = None

    async def start(self, ip, port):
        """Listen on an address."""
        self.address = f"{ip}:{port}"
        await self.server.start(ip, port)
        self.beats = asyncio.ensure_future(self._beat())

    def register(self):
        """Write this server's entry in the store."""
        spec = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }
        if self.engine:
            spec |= {"stage": "unified", **self._held()}
        self.store.put("servers", self.name, spec)

    async def _beat(self):
        await asyncio.sleep(random.random() * 0.2)
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def withdraw(self):
        """Remove this server's entry; return when this was acknowledged."""
        self.beats.cancel()
        self.store.remove("servers", self.name)
        return time.monotonic()

    def stop(self):
        """End this server."""
        if self.beats is not None:
            self.beats.cancel()
        self.server.stop()

    def _held(self):
        if not self.version:
            return {"models": []}
        return {
            "models": [
                {"name": MODEL, "version": self.version, "adapters": []}
            ],
            "layers": {"from": 0, "target": LAYERS, "version": self.version},
        }

    async def _handle(self, request, writer):
        if request.path == "/v1/report":
            return answer_json(
                {
                    "stage": "unified",
                    **self._held(),
                    "busy": self.busy,
                    "seq": self.seq,
                    "waiting": 0,
                    "running": self.running,
                    "kv_used": 0,
                    "kv_total": 100000,
                    "handles": 0,
                    "born": self.born,
                }
            )
        if request.path == "/v1/order":
            return self._order(json.loads(request.body))
        if request.path.startswith("/v1/stage-"):
            return self._stage(request)
        return await self._run(request, writer)

    def _stage(self, request):
        if "item_count" not in request.query:
            return answer_json({"held": sorted(self.staged)})
        index = int(request.query["item_count"])
        if request.method == "PUT":
            self.staged[index] = request.body
            return answer(200)
        if index not in self.staged:
            return answer(404)
        return answer(200, self.staged[index])

    def _order(self, order):
        if self.busy or order.get("expected", self.seq) != self.seq:
            return answer(409)
        self.seq += 1
        self.busy = True
        asyncio.ensure_future(
            self._load(order["version"], order["switch_mode"])
        )
        return answer(202)

    async def _load(self, version, mode):
        """Load after what is running, or cut it off."""
        while mode == "wait" and self.running:
            await asyncio.sleep(0.005)
        old, self.version = self.version, 0
        await asyncio.sleep(0.3)
        self.version = version
        self.busy = False
        self.record.write(f"server {self.name} loaded {version} after {old}")
        self.register()

    def _echo(self, request):
        return [
            ("X-Zinniadyke-Request-Id", request.id),
            ("X-Zinniadyke-Server-Stamp", f"{self.name}.{request.id}"),
            (
                "X-Zinniadyke-Server-Load",
                f"{self.running},0,{self.slots}",
            ),
        ]

    async def _run(self, request, writer):
        self.arrived(self, request)
        echo = self._echo(request)
        refused = [*echo, ("X-Zinniadyke-Not-Executed", "1")]
        expected = request.headers.get("x-zinniadyke-expect-instance")
        if expected and expected != self.name:
            return answer(421, b"", refused)
        full = self.running >= self.slots
        if full or (self.engine and (self.busy or not self.version)):
            return answer(503, b"", refused)
        self.running += 1
        try:
            if not self.engine:
                self.began(self, request, 0)
                await asyncio.sleep(self.work_s)
                return answer(200, request.id.encode(), echo)
            await self._stream(request, writer, echo)
            return b""
        finally:
            self.running -= 1

    async def _stream(self, request, writer, echo):
        await asyncio.sleep(self.first_s)
        version = self.version
        if self.busy or not version:
            writer.write(
                answer(503, b"", [*echo, ("X-Zinniadyke-Not-Executed", "1")])
            )
            return
        self.began(self, request, version)
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"X-Zinniadyke-Weight-Versions: {version}",
            *(f"{n}: {v}" for n, v in echo),
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(request.headers.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {request.id}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
            if self.version != version:
                # The load cut it off.
                raise ConnectionResetError
        writer.write(b"0\r\n\r\n")


def configuration(origin, version):
    """Return a configuration with one stream route and two desk routes."""
    engine_route = {
        "name": "r-summary",
        "host": HOST,
        "path_prefix": "/summary/",
        "kind": "streaming",
        "timeout_ms": 6000,
        "target_latency_ms": 400,
        "target_gap_ms": 300,
        "priority": 1,
        "service": ENGINE_SERVICE,
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "stream_resume": True,
    }
    desk = {
        "host": HOST,
        "timeout_ms": 800,
        "target_latency_ms": 300,
        "priority": 2,
        "service": DESK_SERVICE,
        "public": False,
    }
    return {
        "version": version,
        "routes": [
            engine_route,
            desk
            | {
                "name": "r-book",
                "path_prefix": "/book/",
                "kind": "non_idempotent",
                "max_attempts": 1,
            },
            desk
            | {
                "name": "r-look",
                "path_prefix": "/look/",
                "kind": "idempotent",
                "max_attempts": 2,
            },
        ],
        "services": [
            {
                "name": ENGINE_SERVICE,
                "health_path": "/health",
                "max_connections": 364,
                "engine": {
                    "slots": 16,
                    "kv_capacity_tokens": 1640000,
                    "kv_token_bytes": 163840,
                    "stride": 6,
                    "models": [{"name": MODEL, "warmup_s": 0.3}],
                    "step_ms": 6.73,
                    "per_seq_ms": 0.0219,
                    "context_per_k": 0.0068,
                    "read_per_s": 30600.0,
                    "pairs_per_m": 0.647,
                    "chunk": 2048,
                    "usual": {"prompt": 964, "answer": 119},
                    "layers": LAYERS,
                    "chunks": CHUNKS,
                    "chunk_bytes": CHUNK_BYTES,
                },
            },
            {
                "name": "records",
                "origin": origin,
                "zone": "z1",
                "link_mbps": 9.9,
                "max_connections": 48,
            },
            {
                "name": DESK_SERVICE,
                "health_path": "/health",
                "max_connections": 110,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


class Program:
    """One of the project's programs, as a process of its own."""

    def __init__(self, folder, role, name, settings):
        self.role = role
        self.name = name
        self.settings = folder / f"{name}.toml"
        self.settings.write_text(settings)
        self.log = folder / f"{name}.log"
        self.process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            n: os.environ[n] for n in ("PATH", "HOME") if n in os.environ
        }
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "ZINNIADYKE_CONFIG": str(self.settings),
        }
        with self.log.open("a") as log:
            self.process = subprocess.Popen(
                deploy["roles"][self.role]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        """Send a signal."""
        self.process.send_signal(number)

    def kill(self):
        """End the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            # A process that was stopped ends as well.
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Deployment:
    """Programs and stand-ins of a small deployment.

    Attributes
    ----------
    proxy
        Stands between the programs and the store.
    own_proxies
        The same for some entries alone, by their number.
    """

    def __init__(self, record, *, fronts, sides, desks, bounds=None, apart=()):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.network = Network()
        self.bounds = BOUNDS | (bounds or {})
        self.zones = ["z1", "z2", "z3"]
        self.store = Store(record)
        self.origin = Origin()
        self.proxy = None
        self.apart = apart
        self.own_proxies = {}
        self.servers = []
        self.desks = []
        self.fronts = []
        self.sides = []
        self.counts = fronts, sides, desks

    async def start_standins(self):
        """Start the store, the origin and the servers."""
        network, base = self.network, self.network.base
        store_ip = network.ip(1)
        await self.store.server.start(store_ip, base)
        self.proxy = SilencingProxy((store_ip, base))
        await self.proxy.start(store_ip, base + 1)
        for n in self.apart:
            self.own_proxies[n] = SilencingProxy((store_ip, base))
            await self.own_proxies[n].start(network.ip(3 + n), base + 1)
        await self.origin.server.start(network.ip(2), base)
        fronts, sides, desks = self.counts
        for n in range(sides):
            server = self._server(f"i-m{n}", ENGINE_SERVICE, n, engine=True)
            await server.start(network.ip(20 + n), base + 3)
            self.servers.append(server)
        for n in range(desks):
            server = self._server(f"i-d{n}", DESK_SERVICE, n)
            await server.start(network.ip(30 + n), base + 3)
            self.desks.append(server)
        self.configure(version=1)
        for n in range(fronts):
            self.fronts.append(
                Program(
                    self.folder,
                    "entry",
                    f"front-{n}",
                    self._settings(f"front-{n}", 10 + n, n, front=True),
                )
            )
        for n in range(sides):
            self.sides.append(
                Program(
                    self.folder,
                    "agent",
                    f"side-{n}",
                    self._settings(f"side-{n}", 20 + n, n, front=False),
                )
            )

    def configure(self, *, version):
        """Write a configuration."""
        origin = f"{self.network.ip(2)}:{self.network.base}"
        self.store.put("config", "main", configuration(origin, version))

    def name_version(self, version):
        """Name new weights; return when this was acknowledged."""
        self.store.put("versions", MODEL, {"model": MODEL, "version": version})
        self.record.write(f"version {version} is named and acknowledged")
        return time.monotonic()

    def _server(self, name, service, n, **options):
        return Server(
            record=self.record,
            store=self.store,
            name=name,
            service=service,
            zone=self.zones[n % 3],
            **options,
        )

    def _settings(self, name, number, n, *, front):
        ip, base = self.network.ip(number), self.network.base
        zone = self.zones[n % 3]
        regions = ", ".join(
            f'{{ zone = "{z}", region = "r{z[1]}" }}' for z in self.zones
        )
        lines = [
            "[host]",
            f'name = "{name}"',
            f'zone = "{zone}"',
            f'region = "r{zone[1]}"',
            f'ip = "{ip}"',
            f"regions = [{regions}]",
            f"ports = [{base + 2}, {base + 5}]",
            f"link_mbps = {1000.0 if front else 3.8}",
            f"memory_mb = {300 if front else 168}",
            "[listen]",
        ]
        if front:
            lines += [
                f'requests = "{ip}:{base + 3}"',
                f'ready = "{ip}:{base + 4}"',
            ]
        lines.append("[target]")
        if not front:
            lines += [
                f'address = "{ip}:{base + 3}"',
                f'service = "{ENGINE_SERVICE}"',
            ]
        store = 3 + n if front and n in self.apart else 1
        lines += [
            "[store]",
            f'address = "{self.network.ip(store)}:{base + 1}"',
            "[bounds]",
        ]
        lines += [f"{n} = {v}" for n, v in self.bounds.items()]
        lines += ["[log]", 'level = "info"']
        return "\n".join(lines) + "\n"

    def front_address(self, n):
        """Return where an entry takes requests."""
        return self.network.ip(10 + n), self.network.base + 3

    async def start_programs(self):
        """Start all programs and wait until the entries are ready."""
        for program in [*self.fronts, *self.sides]:
            program.start()
        deadline = time.monotonic() + START_LIMIT_S
        for n in range(len(self.fronts)):
            while not await self.is_ready(n):
                if time.monotonic() > deadline:
                    raise CaseError(f"front-{n} is not ready")
                await asyncio.sleep(READY_CHECK_S)

    async def is_ready(self, n):
        """Whether the ready check of an entry gets 200."""
        ip, port = self.front_address(n)
        try:
            reader, writer = await asyncio.open_connection(ip, port + 1)
        except OSError:
            return False
        try:
            writer.write(
                b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n"
                b"Connection: close\r\n\r\n"
            )
            head = await asyncio.wait_for(reader.readline(), 1.0)
            return b" 200 " in head
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def stop(self):
        """End all programs and stand-ins, and remove the folder."""
        for program in [*self.fronts, *self.sides]:
            program.kill()
        for server in [*self.servers, *self.desks]:
            server.stop()
        self.store.server.stop()
        self.origin.server.stop()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def send_request(
    address, path, request_id, *, deadline_ms=6000, method="POST", body=b"x"
):
    """Send one request on a new connection; return status and body.

    The status is 0 if the connection ended without a whole answer.
    """
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return 0, b""
    try:
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Zinniadyke-Request-Id: {request_id}",
            f"X-Zinniadyke-Deadline-Ms: {deadline_ms}",
            f"X-Zinniadyke-Key: {KEY}",
        ]
        if path.startswith("/summary/"):
            lines += [
                f"X-Zinniadyke-Model: {MODEL}",
                "X-Zinniadyke-Token-Counts: 200,24",
                f"X-Zinniadyke-Prefix-Hash: {request_id[-8:]}:200",
            ]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        return await asyncio.wait_for(
            _read_answer(reader), deadline_ms / 1000 + 1.0
        )
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0, b""
    finally:
        writer.close()


async def _read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") != "chunked":
        length = int(headers.get("content-length", 0))
        return status, await reader.readexactly(length)
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return status, body


def new_id():
    """Return a new request id."""
    return f"{random.getrandbits(64):016x}"


async def _run_quietly(scenario, record, trouble):
    # Connections that the end of a case cuts off are of no interest.
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: None)
    # A case that is ended early ends its processes too.
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    try:
        return await scenario(record, trouble)
    except asyncio.CancelledError:
        raise CaseError("ended early") from None


def run_case(folder, scenario):
    """Run a scenario; return 1 if the rule was broken, 0 if not, 2 if not run.

    The scenario gets the record and whether there is a disruption, and
    returns the number of violations.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    try:
        broken = asyncio.run(_run_quietly(scenario, record, trouble))
    except (CaseError, OSError) as error:
        record.write(f"the case could not run: {error}")
        print(f"the case could not run: {error}")
        return 2
    verdict = f"violations: {broken}"
    record.write(verdict)
    print(verdict)
    return 1 if broken else 0
