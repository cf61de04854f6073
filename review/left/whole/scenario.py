"""A sidecar stands still between its check of staged weights and the order."""

import asyncio
import hashlib
import json
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

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
# A piece may have turned bad this long before it is taken.
BAD_SLACK_S = 3.0
# The machine stands still for this time.
FROZEN_S = 4.0
# One of 64 staged pieces turns bad this long after its begin.
SPOILT_AFTER_S = 0.3
SPOILT = (3,)
# Longest time from the naming to the end of all loads.
LOADED_S = 25.0
EVENTS = 8
DEADLINE_MS = 6093
ASKED_AFTER = 12


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
    """A model server to which weights can be given.

    Attributes
    ----------
    awake
        Set unless the machine stands still.
    turned_bad
        Moment at which each spoilt piece that is staged turned bad.
    tainted
        Pieces in the layers that it holds which were spoilt, for more than
        ``BAD_SLACK_S``, when they were taken.
    checked
        Pieces of the newest version that were read back in a row.
    half_checked
        Set when half of the pieces of version 2 were read back.
    tokens
        Id of each request that began to run, with the version.
    """

    first_event_s = 0.06
    event_s = 0.04

    def __init__(self, address: str, **options) -> None:
        """Hold version 1, which is also staged."""
        super().__init__(address, **options)
        self.version = 1
        self.staged = {n: piece(1, n) for n in range(CHUNKS)}
        self.awake = asyncio.Event()
        self.awake.set()
        self.turned_bad: dict[int, float] = {}
        self.tainted: list[int] = []
        self.checked = 0
        self.half_checked = asyncio.Event()
        self.orders = 0
        self.loading = False
        self.tokens: list[tuple[str, int]] = []
        self.streams: set[asyncio.StreamWriter] = set()

    def models(self) -> list[dict]:
        """Return the models that the server holds."""
        if not self.version:
            return []
        return [
            {"name": standins.MODEL, "version": self.version, "adapters": []}
        ]

    def spoil(self, index: int) -> None:
        """Let a staged piece turn bad."""
        self.staged[index] = bytes(CHUNK_BYTES)
        self.turned_bad[index] = time.monotonic()
        self.record.say(f"piece {index} at {self.id} turns bad")

    async def answer(self, request, reader, writer) -> None:
        """Answer a call about weights, or another one."""
        await self.awake.wait()
        path, _, query = request.target.partition("?")
        options = dict(p.partition("=")[::2] for p in query.split("&") if p)
        if path == "/v1/report":
            self._reply(writer, 200, json.dumps(self._report()).encode())
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
            # What is staged now is taken.
            asyncio.create_task(self._load(order, self._find_spoilt(order)))
            self._reply(writer, 202)
        elif path.startswith("/v1/stage-put/"):
            index = int(options["item_count"])
            self.staged[index] = request.body
            self.turned_bad.pop(index, None)
            self.checked = 0
            self._reply(writer, 200)
        elif path.startswith("/v1/stage-get/"):
            if "item_count" not in options:
                held = json.dumps({"held": sorted(self.staged)})
                self._reply(writer, 200, held.encode())
                return
            index = int(options["item_count"])
            found = self.staged.get(index)
            self._reply(writer, 200 if found else 404, found or b"")
            self._note_check(index, found)
        elif not self.version or self.loading:
            self._turn_away(request, writer)
        else:
            await super().answer(request, reader, writer)

    def _report(self) -> dict:
        return {
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

    def _note_check(self, index: int, found: bytes | None) -> None:
        if found == piece(2, index):
            self.checked += 1
            if self.checked == CHUNKS // 2:
                self.half_checked.set()

    def _find_spoilt(self, order: dict) -> list[int]:
        """Return the pieces that are spoilt or of another version."""
        now = time.monotonic()
        return [
            n
            for n in range(CHUNKS)
            if self.staged.get(n) != piece(order["version"], n)
            and now - self.turned_bad.get(n, 0.0) > BAD_SLACK_S
        ]

    def _reply(self, writer, status: int, body: bytes = b"") -> None:
        writer.write(standins.encode_response(status, {}, body))

    async def _load(self, order: dict, spoilt: list[int]) -> None:
        """Load what was taken, after the requests that run, or at once."""
        self.record.say(
            f"{self.id} takes version {order['version']};"
            f" pieces that were bad for over {BAD_SLACK_S} s: {spoilt}"
        )
        if order["switch_mode"] == "truncate":
            for connection in list(self.streams):
                connection.transport.abort()
        while self.held:
            await asyncio.sleep(0.01)
        self.version = 0
        await asyncio.sleep(WARMUP_S)
        self.version, self.tainted = order["version"], spoilt
        self.loading = False
        self.record.say(f"{self.id} holds version {self.version}")

    async def run(self, request, writer) -> None:
        """Run a request whose connection a load may cut off."""
        self.streams.add(writer)
        self.tokens.append((request.id, self.version))
        try:
            await super().run(request, writer)
        finally:
            self.streams.discard(writer)


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


async def ask(address: str, record) -> int:
    """Send a request; return the status of its answer, 0 for none."""
    client = standins.Client(address)
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            request = await client.send(
                "POST",
                f"/xapu221/{EVENTS}/2f",
                host=HOST,
                deadline_ms=DEADLINE_MS,
                headers={
                    "X-Zinniadyke-Model": standins.MODEL,
                    "X-Zinniadyke-Token-Counts": "1290,144",
                },
                body=b"{}",
            )
            record.say(f"{request} is sent to {address}")
            _, status = await client.read()
            record.say(f"{request} gets {status}")
            return status
    except (OSError, TimeoutError, EOFError) as error:
        record.say(f"a client gets no whole answer: {error!r}")
        return 0
    finally:
        client.close()


async def scenario(record, scratch, programs, trouble) -> list[str]:
    """Play the case; return how the rule was broken."""
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
    engines, sidecars = [], []
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
        sidecars.append(
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
    programs.extend(sidecars)
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
    await asyncio.sleep(4.0)
    store.put(
        "versions", standins.MODEL, {"model": standins.MODEL, "version": 2}
    )
    named_at = time.monotonic()
    record.say("version 2 is named and acknowledged")
    if trouble:
        frozen, engine = sidecars[0], engines[0]
        async with asyncio.timeout(LOADED_S):
            await engine.half_checked.wait()
        frozen.send(signal.SIGSTOP)
        engine.awake.clear()
        engine.heart.cancel()
        record.say(f"{frozen.name} and {engine.id} stand still")
        await asyncio.sleep(SPOILT_AFTER_S)
        for index in SPOILT:
            engine.spoil(index)
        await asyncio.sleep(FROZEN_S - SPOILT_AFTER_S)
        frozen.send(signal.SIGCONT)
        engine.awake.set()
        engine.heart = asyncio.create_task(engine._beat())
        record.say(f"{frozen.name} and {engine.id} go on")
    while any(e.version != 2 for e in engines):
        if time.monotonic() > named_at + LOADED_S:
            raise TimeoutError("version 2 is not loaded")
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    await asyncio.gather(
        *(
            ask(f"{ip}:{port}", record)
            for ip in GATEWAYS.values()
            for _ in range(ASKED_AFTER)
        )
    )
    broken = []
    for engine in engines:
        tokens = [r for r, version in engine.tokens if version == 2]
        if engine.tainted and tokens:
            broken.append(
                f"WHOLE: {engine.id} has taken pieces {engine.tainted} of"
                f" version 2 that had been spoilt for over {BAD_SLACK_S} s,"
                f" and made the tokens of {len(tokens)} requests with them"
            )
    return broken


if __name__ == "__main__":
    standins.main(scenario, pathlib.Path(__file__).resolve().parent)
