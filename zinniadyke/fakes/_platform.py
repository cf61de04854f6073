"""Stand-in of the platform's object API and host list."""

import collections
import time
from urllib import parse

import eventlet
from eventlet import event
import msgspec

from zinniadyke.fakes import _faults
from zinniadyke.fakes import _http
from zinniadyke import platform

HISTORY = 512


class FakePlatform:
    """Objects with revisions, conditional writes, watches and hosts.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.
    """

    def __init__(self, *, address: str = "127.0.0.1:0") -> None:
        """Start with no objects and no hosts."""
        self.faults = _faults.PlatformFaults()
        self.objects: dict[str, tuple[bytes, int]] = {}
        self.revision = 0
        self.changed = event.Event()
        self.reads = 0
        self.writes = 0
        self.host_history: collections.deque = collections.deque(
            [(0.0, [])], maxlen=HISTORY
        )
        self.server = _http.HttpServer(application=self, address=address)
        self.url = self.server.url

    def set_hosts(self, hosts: list[platform.Host]) -> None:
        """Replace the list of hosts."""
        self.host_history.append((time.monotonic(), list(hosts)))

    def hosts(self) -> list[platform.Host]:
        """Return the list as it was ``hosts_lag_s`` ago."""
        moment = time.monotonic() - self.faults.hosts_lag_s
        seen = [h for at, h in self.host_history if at <= moment]
        return seen[-1] if seen else []

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop()

    def __call__(self, environ, start_response):
        """Serve one call."""
        if self.faults.latency_s:
            eventlet.sleep(self.faults.latency_s)
        if self.faults.down:
            return _http.answer(start_response, "503 Service Unavailable")
        path = environ["PATH_INFO"]
        if path == "/v1/hosts":
            return self._serve_hosts(environ, start_response)
        if path == "/v1/counters":
            counted = {"reads": self.reads, "writes": self.writes}
            return _http.answer_json(start_response, counted)
        if path.startswith("/v1/objects/"):
            key = path.removeprefix("/v1/objects/")
            if environ["REQUEST_METHOD"] == "PUT":
                return self._put(key, environ, start_response)
            return self._get(key, start_response)
        if path.startswith("/v1/watch/"):
            key = path.removeprefix("/v1/watch/")
            return self._watch(key, environ, start_response)
        return _http.answer(start_response, "404 Not Found")

    def _serve_hosts(self, environ, start_response):
        if environ["REQUEST_METHOD"] == "PUT":
            body = _http.read_body(environ)
            self.set_hosts(msgspec.json.decode(body, type=list[platform.Host]))
            return _http.answer(start_response, "200 OK")
        self.reads += 1
        return _http.answer_json(start_response, self.hosts())

    def _get(self, key, start_response):
        self.reads += 1
        if key not in self.objects:
            return _http.answer(start_response, "404 Not Found")
        value, revision = self.objects[key]
        return _http.answer(start_response, "200 OK", value, _tag(revision))

    def _put(self, key, environ, start_response):
        body = _http.read_body(environ)
        self.writes += 1
        present = self.objects.get(key)
        if not _allowed(environ, present):
            return _http.answer(start_response, "412 Precondition Failed")
        self.revision += 1
        self.objects[key] = (body, self.revision)
        changed, self.changed = self.changed, event.Event()
        changed.send()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            _http.abort()
        return _http.answer(start_response, "200 OK", b"", _tag(self.revision))

    def _watch(self, key, environ, start_response):
        self.reads += 1
        query = parse.parse_qs(environ["QUERY_STRING"])
        after = int(query["after"][0])
        with eventlet.Timeout(float(query["wait"][0]), False):
            while self.objects.get(key, (b"", -1))[1] <= after:
                self.changed.wait()
        if self.faults.down:
            return _http.answer(start_response, "503 Service Unavailable")
        value, revision = self.objects.get(key, (b"", -1))
        if revision <= after:
            return _http.answer(start_response, "204 No Content")
        return _http.answer(start_response, "200 OK", value, _tag(revision))


def _tag(revision: int) -> list[tuple[str, str]]:
    return [("ETag", f'"{revision}"')]


def _allowed(environ, present: tuple[bytes, int] | None) -> bool:
    if environ.get("HTTP_IF_NONE_MATCH") == "*":
        return present is None
    expected = environ.get("HTTP_IF_MATCH")
    if expected is None:
        return True
    return present is not None and expected.strip('"') == str(present[1])
