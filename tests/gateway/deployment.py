"""A gateway with a fake store and scripted targets, for tests."""

import contextlib
import http.client
import itertools
import os
import socket

import eventlet

from zinniadyke import fakes
from zinniadyke import gateway
from zinniadyke import settings

KEY = "key-1"
# Below the ephemeral ports (from 32768 on Linux). Parallel test runs start at
# different ports.
FIRST_PORT = 12000
PORT_COUNT = 20000
POLL_INTERVAL_S = 0.01
PORTS = itertools.count(os.getpid() * 97)


def wait_until(condition, timeout_s=5.0):
    """Wait for a condition; return whether it held in time.

    Time in which the process itself stands still, as on a busy machine, does
    not count: the condition is checked as often as without it.
    """
    for _ in range(int(timeout_s / POLL_INTERVAL_S)):
        if condition():
            return True
        eventlet.sleep(POLL_INTERVAL_S)
    return condition()


def free_port():
    """Return a port that is unused for TCP and UDP.

    It is below the ephemeral range, because an outgoing connection could take
    an ephemeral port before the test binds it.
    """
    for _ in range(PORT_COUNT):
        port = FIRST_PORT + next(PORTS) % PORT_COUNT
        with (
            socket.socket() as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagrams,
        ):
            try:
                stream.bind(("", port))
                datagrams.bind(("", port))
            except OSError:
                continue
            return port
    raise OSError("no port is free")


def route(name, **overrides):
    """Return a route in the format of the operator's configuration."""
    return {
        "name": name,
        "host": "h.example",
        "path_prefix": f"/{name}/",
        "kind": "non_idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": "desk",
        "max_attempts": 2,
        **overrides,
    }


ROUTES = [
    route("once"),
    route("again", kind="idempotent"),
    route("stream", kind="streaming", stream_resume=True),
    route("stream-once", kind="streaming"),
    route("short", timeout_ms=300),
    route("open", public=True),
]


def configuration(version=1, routes=None, **overrides):
    """Return a configuration in the operator's format."""
    return {
        "version": version,
        "routes": ROUTES if routes is None else routes,
        "services": [{"name": "desk", "max_connections": 50}],
        "limits": {
            "max_header_bytes": 2000,
            "max_body_bytes": 5000,
            "header_timeout_ms": 500,
            "idle_timeout_ms": 3000,
        },
        "tenants": [{"name": "clinic", "api_keys": [KEY]}],
        **overrides,
    }


class Deployment:
    """A store, a gateway and scripted targets.

    Parameters
    ----------
    regions
        Region of each zone.
    """

    def __init__(self, regions=None, memory_mb=0.0, **bounds):
        self.store = fakes.FakeStore()
        self.targets = []
        self.gateway = gateway.Gateway(
            loaded=settings.PlatformProcessSettings(
                host=settings.HostSection(
                    name="e1",
                    zone="z1",
                    region="r1",
                    regions=[
                        settings.ZoneRegion(zone=zone, region=region)
                        for zone, region in (regions or {}).items()
                    ],
                    ip="127.0.0.1",
                    ports=(free_port(), 0),
                    memory_mb=memory_mb,
                ),
                store=settings.StoreSection(address=self.store.address),
                listen=settings.ListenSection(
                    requests=f"127.0.0.1:{free_port()}",
                    ready=f"127.0.0.1:{free_port()}",
                ),
                bounds=settings.BoundsSection(
                    retry_extra=100.0, retry_window_s=0.0, **bounds
                ),
            )
        )

    def configure(self, spec):
        """Write a configuration to the store."""
        self.store.put("config", "main", spec)

    def add_target(self, script, name=None, **overrides):
        """Register a scripted target."""
        target = fakes.ScriptedTarget(script=script)
        self.targets.append(target)
        target.name = name or f"t{len(self.targets)}"
        target.spec = {
            "service": "desk",
            "address": target.address,
            "zone": "z1",
            "slots": 4,
            "version": "v1",
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
            **overrides,
        }
        self.store.put("servers", target.name, target.spec)
        return target

    def start(self):
        """Start the gateway and wait until it knows all targets."""
        self.gateway.start()
        names = {t.name for t in self.targets}
        assert wait_until(
            lambda: (
                self.gateway.ready and names <= set(self.gateway.view.targets)
            )
        )

    def connect(self):
        """Return a raw connection to the gateway."""
        host, _, port = self.gateway.settings.listen.requests.rpartition(":")
        sock = socket.create_connection((host, int(port)))
        sock.settimeout(5.0)
        return sock

    def ask(self, path, method="POST", body=b"", key=KEY, **overrides):
        """Return a response's status, headers, body and completeness."""
        address = self.gateway.settings.listen.requests
        connection = http.client.HTTPConnection(address, timeout=5.0)
        headers = {
            "Host": "h.example",
            "X-Zinniadyke-Request-Id": "r1",
            "X-Zinniadyke-Deadline-Ms": "3000",
            **{
                name.replace("_", "-"): value
                for name, value in overrides.items()
            },
        }
        if key:
            headers["X-Zinniadyke-Key"] = key
        connection.request(method, path, body=body, headers=headers)
        answer = connection.getresponse()
        try:
            data, complete = answer.read(), True
        except (http.client.IncompleteRead, ConnectionError) as error:
            data, complete = getattr(error, "partial", b""), False
        connection.close()
        return answer.status, answer.headers, data, complete

    def stop(self):
        """Stop the gateway, the targets and the store."""
        self.gateway.close()
        for target in self.targets:
            target.stop()
        self.store.stop()


@contextlib.contextmanager
def deployment(*scripts, spec=None, **bounds):
    """Run a gateway with one target per script."""
    system = Deployment(**bounds)
    try:
        system.configure(spec or configuration())
        for script in scripts:
            system.add_target(script)
        system.start()
        yield system
    finally:
        system.stop()
