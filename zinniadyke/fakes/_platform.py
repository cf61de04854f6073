"""Stand-in of the platform of the product's own deployments."""

import collections
import time

import eventlet
import msgspec

from zinniadyke.fakes import _faults
from zinniadyke.fakes import _http
from zinniadyke.fakes import _store
from zinniadyke import platform

HISTORY = 512
# Tells the calls so far, for benches; no part of the platform's protocol.
COUNTERS_PATH = "/counters"


class FakePlatform(_store.FakeStore):
    """The store with a list of hosts that may lag, and with faults.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.
    """

    def __init__(self, *, address: str = "127.0.0.1:0") -> None:
        """Start with no objects and no hosts."""
        self.faults = _faults.PlatformFaults()
        self.host_history: collections.deque = collections.deque(
            [(0.0, {})], maxlen=HISTORY
        )
        super().__init__(address=address)
        self.url = self.server.url

    def set_hosts(self, hosts: list[platform.Host]) -> None:
        """Replace the list of hosts."""
        self.objects[platform.HOSTS_KIND] = {}
        for host in hosts:
            self.put(platform.HOSTS_KIND, host.name, msgspec.to_builtins(host))
        self._note_hosts()

    def hosts(self) -> list[platform.Host]:
        """Return the list as it was ``hosts_lag_s`` ago."""
        return [
            msgspec.convert(stored["spec"], platform.Host)
            for stored in self.listed(platform.HOSTS_KIND).values()
        ]

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Create or replace an object."""
        stored = super().put(kind, name, spec)
        if kind == platform.HOSTS_KIND:
            self._note_hosts()
        return stored

    @property
    def lose_answers(self) -> int:
        """Writes that take effect and whose answers are lost."""
        return self.faults.lose_answers

    @lose_answers.setter
    def lose_answers(self, count: int) -> None:
        self.faults.lose_answers = count

    def _note_hosts(self) -> None:
        now = dict(self.objects[platform.HOSTS_KIND])
        self.host_history.append((time.monotonic(), now))

    def listed(self, kind: str) -> dict[str, dict]:
        """Return the objects of a kind; hosts as they were some time ago."""
        if kind != platform.HOSTS_KIND:
            return super().listed(kind)
        moment = time.monotonic() - self.faults.hosts_lag_s
        seen = [hosts for at, hosts in self.host_history if at <= moment]
        return seen[-1] if seen else {}

    def __call__(self, environ, start_response):
        """Serve one call."""
        if environ["PATH_INFO"] == COUNTERS_PATH:
            counted = {"reads": self.reads, "writes": self.writes}
            return _http.answer_json(start_response, counted)
        if self.faults.latency_s:
            eventlet.sleep(self.faults.latency_s)
        self.down = 503 if self.faults.down else 0
        return super().__call__(environ, start_response)
