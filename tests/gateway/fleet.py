"""Several entries, targets with and without agents, and a store, for tests."""

import http.client
import json
import time

import eventlet

from tests.gateway import deployment as deploy
from zinniadyke import fakes
from zinniadyke import gateway
from zinniadyke import settings
from zinniadyke import sidecar

MODEL = "m"
# Service of the model servers, which have agents.
MODELS = "models"
# Service of targets without agents.
DESK = "desk"
EVENTS = 8
EVENT_INTERVAL_S = 0.08
FIRST_EVENT_S = 0.1
DESK_ANSWER_S = 0.05
RESTART_S = 0.6
SLOTS = 16
MAX_CALL_S = 6.0
ROUTES = [
    deploy.route(
        "s",
        service=MODELS,
        kind="streaming",
        stream_resume=True,
        timeout_ms=5000,
        target_latency_ms=1000,
    ),
    deploy.route(
        "files", kind="idempotent", timeout_ms=2000, target_latency_ms=400
    ),
    deploy.route("slots", timeout_ms=2000, target_latency_ms=400),
]


class Target:
    """A target that may crash on what it is asked, or limit requests.

    Attributes
    ----------
    crashes_on
        Returns whether the target crashes when it begins an exchange.
    resets_left
        Number of requests whose connections it still resets.
    limit_per_s
        Limit that all its answers name; None for none.
    cold_until
        Monotonic time until which it is cold, as all its answers say.
    slots
        Slots that it registers.
    arrivals
        Time and exchange of each request, without reports.
    """

    def __init__(self, *, system, ip, service):
        self.system = system
        self.service = service
        self.ip = ip
        self.address = f"{ip}:{system.target_port}"
        self.starts = 0
        self.arrivals = []
        self.crashed_at = []
        self.crashes_on = lambda exchange: False
        self.limit_per_s = None
        self.cold_until = float("-inf")
        self.slots = system.slots
        self.resets_left = 0
        self.start()

    def start(self):
        self.starts += 1
        self.born_ms = int(time.time() * 1000)
        self.open = set()
        self.server = fakes.ScriptedTarget(
            script=self.serve, address=self.address
        )
        self.id = f"t-{self.ip}-{self.starts}"
        spec = {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "slots": self.slots,
            "version": "v1",
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": self.born_ms,
        }
        if self.service == MODELS:
            spec["models"] = [{"name": MODEL, "version": 1}]
        self.system.store.put("servers", self.id, spec)

    @property
    def headers(self):
        found = {}
        if self.limit_per_s is not None:
            found["Server_Limit"] = str(self.limit_per_s)
        cold_s = self.cold_until - time.monotonic()
        if cold_s > 0:
            found["X_Zinniadyke_Cold_Ms"] = str(int(cold_s * 1000))
        return found

    def serve(self, exchange):
        if exchange.request_line.startswith("GET /v1/report"):
            report = {
                "models": [{"name": MODEL, "version": 1}],
                "running": len(self.open),
                "waiting": 0,
                "born": self.born_ms,
            }
            exchange.answer(200, json.dumps(report).encode(), **self.headers)
            return
        self.arrivals.append((time.monotonic(), exchange))
        self.open.add(exchange)
        try:
            if self.service == MODELS:
                eventlet.sleep(FIRST_EVENT_S)
            if self.crashes_on(exchange):
                self.crash()
            elif self.resets_left:
                self.resets_left -= 1
                exchange.reset()
            elif self.service == MODELS:
                self.stream(exchange)
            else:
                eventlet.sleep(DESK_ANSWER_S)
                exchange.answer(200, b"done", **self.headers)
        except OSError:
            return
        finally:
            self.open.discard(exchange)

    def stream(self, exchange):
        exchange.head(
            200,
            "Transfer-Encoding: chunked",
            Content_Type="text/event-stream",
            **self.headers,
        )
        for number in range(1, EVENTS + 1):
            exchange.chunk(b"id: %d\ndata: x\n\n" % number)
            eventlet.sleep(EVENT_INTERVAL_S)
        exchange.chunk(b"")

    def crash(self):
        if self.server is None:
            return
        server, self.server = self.server, None
        self.crashed_at.append(time.monotonic())
        server.stop()
        for exchange in list(self.open):
            exchange.reset()
        self.system.store.remove("servers", self.id)
        eventlet.spawn_after(RESTART_S, self.restart)

    def restart(self):
        if not self.system.stopped:
            self.start()

    def stop(self):
        if self.server is not None:
            self.server.stop()


class Fleet:
    """Entries, targets, agents of the model servers, and a store.

    Parameters
    ----------
    network
        First three numbers of the addresses, of their own for each test file.
    slots
        Slots of each target.
    service
        Further fields of the services' configuration.
    bounds
        Bounds in the settings of the entries.
    """

    def __init__(
        self,
        *,
        network,
        entries=3,
        models=4,
        desks=0,
        slots=SLOTS,
        service=None,
        **bounds,
    ):
        self.stopped = False
        self.slots = slots
        self.bounds = bounds
        more = service or {}
        self.network = network
        self.store = fakes.FakeStore()
        self.port = deploy.free_port()
        self.target_port = deploy.free_port()
        self.requests_port = deploy.free_port()
        self.ready_port = deploy.free_port()
        engine = {
            "slots": slots,
            "models": [{"name": MODEL}],
            "chunks": 1,
            "chunk_bytes": 1024,
        }
        self.store.put(
            "config",
            "main",
            deploy.configuration(
                routes=ROUTES,
                services=[
                    {
                        "name": MODELS,
                        "engine": engine,
                        "max_connections": 99,
                        **more,
                    },
                    {"name": DESK, "max_connections": 99, **more},
                ],
            ),
        )
        self.models = [
            Target(system=self, ip=f"{network}.{100 + n}", service=MODELS)
            for n in range(models)
        ]
        self.desks = [
            Target(system=self, ip=f"{network}.{150 + n}", service=DESK)
            for n in range(desks)
        ]
        self.agents = [self.start_agent(t) for t in self.models]
        self.gateways = [self.start_entry(n) for n in range(entries)]

    @property
    def targets(self):
        return self.models + self.desks

    def start_agent(self, target):
        made = sidecar.Sidecar(
            loaded=settings.PlatformProcessSettings(
                host=settings.HostSection(
                    name=target.ip,
                    zone="z1",
                    region="r1",
                    ip=target.ip,
                    ports=(self.port, self.port),
                    link_mbps=100.0,
                ),
                store=settings.StoreSection(address=self.store.address),
                target=settings.TargetSection(
                    address=target.address, service=MODELS
                ),
                bounds=settings.BoundsSection(),
            )
        )
        made.start()
        return made

    def start_entry(self, number):
        ip = f"{self.network}.{1 + number}"
        made = gateway.Gateway(
            loaded=settings.PlatformProcessSettings(
                host=settings.HostSection(
                    name=f"e{number}",
                    zone="z1",
                    region="r1",
                    ip=ip,
                    ports=(self.port, self.port),
                ),
                store=settings.StoreSection(address=self.store.address),
                listen=settings.ListenSection(
                    requests=f"{ip}:{self.requests_port}",
                    ready=f"{ip}:{self.ready_port}",
                ),
                bounds=settings.BoundsSection(
                    retry_extra=1000.0, retry_window_s=0.0, **self.bounds
                ),
            )
        )
        made.start()
        return made

    def wait_ready(self):
        """Wait until all entries know all targets and agents."""
        return deploy.wait_until(
            lambda: all(
                g.ready
                and len(g.view.targets) == len(self.targets)
                and all(
                    s.agent_reported_at is not None
                    for s in g.target_table.states.values()
                    if s.target.service == MODELS
                )
                for g in self.gateways
            )
        )

    def wait_all_serve(self):
        """Wait until all entries place requests on all targets again."""
        return deploy.wait_until(
            lambda: all(
                len(g.target_table.available_targets(service)) == len(targets)
                for g in self.gateways
                for service, targets in (
                    (MODELS, self.models),
                    (DESK, self.desks),
                )
            )
        )

    def ask(
        self, entry, request_id, parts="", path="/s/x", method="POST", body=b""
    ):
        """Return the status, result code and whether the answer was whole."""
        made = self.gateways[entry]
        connection = http.client.HTTPConnection(
            made.settings.listen.requests, timeout=MAX_CALL_S
        )
        headers = {
            "Host": "h.example",
            "X-Zinniadyke-Request-Id": request_id,
            "X-Zinniadyke-Deadline-Ms": "5000",
            "X-Zinniadyke-Key": deploy.KEY,
        }
        if parts:
            headers["X-Zinniadyke-Model"] = MODEL
            headers["X-Zinniadyke-Prefix-Hash"] = parts
        try:
            connection.request(method, path, body=body, headers=headers)
            answer = connection.getresponse()
            answer.read()
            code = answer.headers.get("Zinniadyke-Code", "")
            return answer.status, code, True
        except (http.client.HTTPException, OSError):
            return 0, "", False
        finally:
            connection.close()

    @property
    def crashes(self):
        return sorted(at for t in self.targets for at in t.crashed_at)

    def stop(self):
        self.stopped = True
        for made in (*self.gateways, *self.agents):
            made.close()
        for target in self.targets:
            target.stop()
        self.store.stop()
