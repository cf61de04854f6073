"""Streams begin on replaced weights later than the bound allows."""

import asyncio
import collections
import hashlib
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins

SERVICE = "huvo11a"
ORIGIN_SERVICE = "gowu98c"
HOST = "hulo84.example"
ZONES = {"cairo-hall-a": "cairo", "alex-hall-b": "alex"}
GATEWAYS = {"front-cairo": "127.0.0.11", "front-alex": "127.0.0.12"}
SIDES = {
    "side-cairo-1": "127.0.0.31",
    "side-cairo-2": "127.0.0.32",
    "side-alex-1": "127.0.0.33",
}
STORE_IP = "127.0.0.10"
ORIGIN_IP = "127.0.0.9"
SLOTS = 16
CHUNKS = 64
CHUNK_BYTES = 32768
LAYERS = 16
ORIGIN_MBPS = 9.9
SIDE_MBPS = 7.6
WARMUP_S = 0.3
VERSION_S = 8.0
CRASHED_S = 6.0
REQUESTS_PER_S = 26.0
EVENTS = 8
DEADLINE_MS = 6093
STEADY_S = 6.0
AFTER_S = 1.5
SEED = 1


def piece(version: int, index: int) -> bytes:
    """Return the bytes of a piece of weights."""
    seed = hashlib.sha256(f"{version}/{index}".encode()).digest()
    return seed * (CHUNK_BYTES // len(seed))


class Origin(standins.HttpServer):
    """The service that provides manifests and pieces of weights."""

    def __init__(self, address: str) -> None:
        """Start with an idle link."""
        super().__init__(address)
        self.link = asyncio.Lock()

    async def answer(self, request, reader, writer) -> None:
        """Answer with a manifest or a piece."""
        path, _, query = request.target.partition("?")
        options = dict(p.partition("=")[::2] for p in query.split("&"))
        version = int(options["version"])
        if path.startswith("/v1/manifest/"):
            body = json.dumps(
                {
                    "model": standins.MODEL,
                    "version": version,
                    "chunk_bytes": CHUNK_BYTES,
                    "layers": LAYERS,
                    "digests": [
                        hashlib.sha256(piece(version, n)).hexdigest()
                        for n in range(CHUNKS)
                    ],
                }
            ).encode()
        else:
            body = piece(version, int(options["item_count"]))
        async with self.link:
            await asyncio.sleep(len(body) * 8 / ORIGIN_MBPS / 1e6)
        writer.write(standins.encode_response(200, {}, body))


class Engine(standins.ModelServer):
    """A model server under load, to which weights can be given.

    It sends the head of an answer when it admits a request to its batch, and
    the first token when the prompt is read.

    Attributes
    ----------
    begun
        Id, moment and version of each request that began to run.
    """

    admit_s = 0.4
    first_event_s = 0.4
    event_s = 0.04

    def __init__(self, address: str, **options) -> None:
        """Hold version 1, which is also staged."""
        super().__init__(address, **options)
        self.version = 1
        self.staged = {n: piece(1, n) for n in range(CHUNKS)}
        self.orders = 0
        self.loading = False
        self.begun: list[tuple[str, float, int]] = []
        self.streams: set[asyncio.StreamWriter] = set()

    def models(self) -> list[dict]:
        """Return the models that the server holds."""
        if not self.version:
            return []
        return [
            {"name": standins.MODEL, "version": self.version, "adapters": []}
        ]

    async def answer(self, request, reader, writer) -> None:
        """Answer a call about weights, or another one."""
        path, _, query = request.target.partition("?")
        options = dict(p.partition("=")[::2] for p in query.split("&") if p)
        if path == "/v1/report":
            report = {
                "stage": "unified",
                "models": self.models(),
                "layers": {
                    "from": 0,
                    "target": LAYERS if self.version else 0,
                    "version": self.version,
                },
                "busy": self.loading,
                "seq": self.orders,
                "waiting": 0,
                "running": self.held,
                "kv_used": 0,
                "kv_total": 1640000,
                "handles": 0,
                "born": self.born,
            }
            self._reply(writer, 200, json.dumps(report).encode())
        elif path == "/v1/order":
            order = json.loads(request.body)
            if self.loading or order.get("expected") not in (
                None,
                self.orders,
            ):
                self._reply(writer, 409)
                return
            self.orders += 1
            self.loading = True
            asyncio.create_task(self._load(order))
            self._reply(writer, 202)
        elif path.startswith("/v1/stage-put/"):
            self.staged[int(options["item_count"])] = request.body
            self._reply(writer, 200)
        elif path.startswith("/v1/stage-get/"):
            if "item_count" not in options:
                held = json.dumps({"held": sorted(self.staged)})
                self._reply(writer, 200, held.encode())
                return
            found = self.staged.get(int(options["item_count"]))
            self._reply(writer, 200 if found else 404, found or b"")
        elif not self.may_run():
            self._turn_away(request, writer)
        else:
            await super().answer(request, reader, writer)

    def may_run(self) -> bool:
        """Whether weights are held and stay for now."""
        return bool(self.version) and not self.loading

    def _reply(self, writer, status: int, body: bytes = b"") -> None:
        writer.write(standins.encode_response(status, {}, body))

    async def _load(self, order: dict) -> None:
        """Load what is staged, after the requests that run, or at once."""
        staged = dict(self.staged)
        self.record.say(f"{self.id} loads version {order['version']}")
        if order["switch_mode"] == "truncate":
            for connection in list(self.streams):
                connection.transport.abort()
        while self.held:
            await asyncio.sleep(0.01)
        self.version = 0
        await asyncio.sleep(WARMUP_S)
        if any(
            staged.get(n) != piece(order["version"], n) for n in range(CHUNKS)
        ):
            self.record.say(f"{self.id} has taken spoilt weights")
        self.version = order["version"]
        self.loading = False
        self.record.say(f"{self.id} holds version {self.version}")

    async def run(self, request, writer) -> None:
        """Run a request whose connection a load may cut off."""
        self.streams.add(writer)
        try:
            await self._stream(request, writer)
        finally:
            self.streams.discard(writer)

    async def _stream(self, request, writer) -> None:
        """Stream the events of a request."""
        await asyncio.sleep(self.admit_s)
        head = self.head(request) | {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "X-Zinniadyke-Weight-Versions": str(self.version),
        }
        writer.write(standins.encode_head(200, head))
        await writer.drain()
        await asyncio.sleep(self.first_event_s)
        self.begun.append((request.id, time.monotonic(), self.version))
        self.record.say(f"{request.id} begins on version {self.version}")
        after = int(request.headers.get("last-event-id") or 0)
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {request.id}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")


def configuration(origin: str) -> dict:
    """Return a configuration with one streaming route."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-2xp4zhp",
                "host": HOST,
                "path_prefix": "/xapu221/",
                "kind": "streaming",
                "timeout_ms": 6000,
                "target_latency_ms": 405,
                "target_gap_ms": 300,
                "priority": 1,
                "service": SERVICE,
                "max_attempts": 2,
                "public": True,
                "sticky": True,
                "stream_resume": True,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_connections": 364,
                "engine": standins.ENGINE
                | {
                    "layers": LAYERS,
                    "chunks": CHUNKS,
                    "chunk_bytes": CHUNK_BYTES,
                },
            },
            {
                "name": ORIGIN_SERVICE,
                "origin": origin,
                "zone": "cairo-hall-a",
                "link_mbps": ORIGIN_MBPS,
                "max_connections": 48,
            },
        ],
        "tenants": [],
    }


async def scenario(record, scratch, programs, trouble) -> list[str]:
    """Play the case; return how the rule was broken."""
    rng = random.Random(SEED)
    ips = [*GATEWAYS.values(), *SIDES.values(), STORE_IP, ORIGIN_IP]
    port, ready, internal = (standins.free_port(ips) for _ in range(3))
    origin = Origin(f"{ORIGIN_IP}:{port}")
    await origin.start()
    store = standins.Store(f"{STORE_IP}:{port}")
    await store.start()
    store.put("config", "main", configuration(origin.address))
    store.put(
        "versions", standins.MODEL, {"model": standins.MODEL, "version": 1}
    )
    engines = []
    for name, ip in SIDES.items():
        zone = "alex-hall-b" if "alex" in name else "cairo-hall-a"
        engine = Engine(
            f"{ip}:{port}",
            store=store,
            record=record,
            service=SERVICE,
            zone=zone,
            slots=SLOTS,
            queue=8,
            model=True,
        )
        await engine.start()
        engines.append(engine)
        programs.append(
            standins.Program(
                name,
                role="sidecar",
                ip=ip,
                zone=zone,
                zones=ZONES,
                ports=[internal, internal],
                store=store.address,
                folder=scratch,
                target=(engine.address, SERVICE),
                memory_mb=168,
                link_mbps=SIDE_MBPS,
            )
        )
    for (name, ip), zone in zip(GATEWAYS.items(), ZONES, strict=True):
        programs.append(
            standins.Program(
                name,
                role="gateway",
                ip=ip,
                zone=zone,
                zones=ZONES,
                ports=[internal, internal],
                store=store.address,
                folder=scratch,
                listen={"requests": f"{ip}:{port}", "ready": f"{ip}:{ready}"},
            )
        )
    for program in programs:
        program.start()
    for ip in GATEWAYS.values():
        await standins.wait_ready(f"{ip}:{ready}")
    statuses: collections.Counter[int] = collections.Counter()

    async def ask() -> None:
        client = standins.Client(
            f"{rng.choice(list(GATEWAYS.values()))}:{port}"
        )
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                request = await client.send(
                    "POST",
                    "/xapu221/2f",
                    host=HOST,
                    deadline_ms=DEADLINE_MS,
                    headers={
                        "X-Zinniadyke-Model": standins.MODEL,
                        "X-Zinniadyke-Token-Counts": "1290,144",
                    },
                    body=b"{}",
                )
                record.say(f"{request} is sent to {client.address}")
                _, status = await client.read()
                statuses[status] += 1
                record.say(f"{request} gets {status}")
        except (OSError, TimeoutError, EOFError) as error:
            statuses[0] += 1
            record.say(f"a client gets no whole answer: {error!r}")
        finally:
            client.close()

    async def send_steadily(end: float) -> None:
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
                group.create_task(ask())

    end = time.monotonic() + STEADY_S + VERSION_S + AFTER_S
    async with asyncio.TaskGroup() as group:
        group.create_task(send_steadily(end))
        await asyncio.sleep(STEADY_S)
        if trouble:
            await origin.stop()
            record.say("the only server of the origin's service crashes")
        store.put(
            "versions", standins.MODEL, {"model": standins.MODEL, "version": 2}
        )
        named_at = time.monotonic()
        record.say("version 2 is named and acknowledged")
        if trouble:
            await asyncio.sleep(CRASHED_S)
            await origin.start()
            record.say("the origin is back")
    record.say(f"answers by status: {dict(statuses)}")
    late = []
    for engine in engines:
        for request, at, version in engine.begun:
            after_s = at - named_at
            if version == 1 and after_s > VERSION_S:
                record.say(
                    f"{request} begins on version 1 at {engine.id}"
                    f" {after_s:.3f} s after version 2 was acknowledged"
                )
                late.append(request)
    if late:
        return [
            f"VERSION: {len(late)} requests begin on version 1 later than"
            f" {VERSION_S:.0f} s after version 2 was acknowledged: {late}"
        ]
    return []


if __name__ == "__main__":
    standins.main(scenario, pathlib.Path(__file__).resolve().parent)
