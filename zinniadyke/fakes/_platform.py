"""Fake of the platform that entries and agents use."""

import collections
import time

import eventlet
import msgspec

from zinniadyke.fakes import _faults
from zinniadyke.fakes import _http
from zinniadyke.fakes import _store
from zinniadyke import platform

HOST_HISTORY_LENGTH = 512
# For benchmarks only; the platform's protocol has no request counters.
COUNTERS_PATH = "/counters"


class FakePlatform(_store.FakeStore):
    """A store with injected faults and a host list that may be stale.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.
    """

    def __init__(self, *, address: str = "127.0.0.1:0") -> None:
        """Start without objects or hosts."""
        self.faults = _faults.PlatformFaults()
        self.host_history: collections.deque = collections.deque(
            [(0.0, {})], maxlen=HOST_HISTORY_LENGTH
        )
        super().__init__(address=address)
        self.url = self.server.url

    def set_hosts(self, hosts: list[platform.Host]) -> None:
        """Replace the host list."""
        self.objects[platform.HOSTS_KIND] = {}
        for host in hosts:
            self.put(platform.HOSTS_KIND, host.name, msgspec.to_builtins(host))
        self._record_hosts()

    def hosts(self) -> list[platform.Host]:
        """Return the host list as it was ``hosts_lag_s`` ago."""
        return [
            msgspec.convert(stored["spec"], platform.Host)
            for stored in self.visible_objects(platform.HOSTS_KIND).values()
        ]

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Create or replace an object."""
        stored = super().put(kind, name, spec)
        if kind == platform.HOSTS_KIND:
            self._record_hosts()
        return stored

    @property
    def lose_answers(self) -> int:
        """Number of writes to apply without sending an answer."""
        return self.faults.lose_answers

    @lose_answers.setter
    def lose_answers(self, count: int) -> None:
        self.faults.lose_answers = count

    def _record_hosts(self) -> None:
        now = dict(self.objects[platform.HOSTS_KIND])
        self.host_history.append((time.monotonic(), now))

    def visible_objects(self, kind: str) -> dict[str, dict]:
        """Return the objects of a kind; hosts as of ``hosts_lag_s`` ago."""
        if kind != platform.HOSTS_KIND:
            return super().visible_objects(kind)
        visible_at = time.monotonic() - self.faults.hosts_lag_s
        seen = [hosts for at, hosts in self.host_history if at <= visible_at]
        return seen[-1] if seen else {}

    def __call__(self, environ, start_response):
        """Serve one request."""
        if environ["PATH_INFO"] == COUNTERS_PATH:
            counters = {"reads": self.reads, "writes": self.writes}
            return _http.answer_json(start_response, counters)
        if self.faults.latency_s:
            eventlet.sleep(self.faults.latency_s)
        self.down = 503 if self.faults.down else 0
        return super().__call__(environ, start_response)
