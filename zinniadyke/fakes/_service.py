"""Fake plain service that counts the runs of each request."""

import collections
import socket
from typing import NoReturn

import eventlet

from zinniadyke.fakes import _faults
from zinniadyke.fakes import _http


class FakeService:
    """Echoes every request and counts its runs.

    Of ``faults``, only ``down``, ``latency_s``, ``crash_on`` and ``crash_s``
    have an effect.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.
    latency_s
        Time that one run takes, in seconds.

    Attributes
    ----------
    runs
        Number of runs by request id.
    keys
        Number of runs by idempotency key.
    running
        Number of runs in progress.
    crashes
        Number of crashes; nothing listens until the service has restarted.
    """

    def __init__(
        self, *, address: str = "127.0.0.1:0", latency_s: float = 0.002
    ) -> None:
        """Start without runs."""
        self.faults = _faults.EngineFaults()
        self.latency_s = latency_s
        self.runs: collections.Counter = collections.Counter()
        self.keys: collections.Counter = collections.Counter()
        self.running = 0
        self.crashes = 0
        self.crashed = False
        self.server = _http.HttpServer(application=self, address=address)
        self.url = self.server.url

    def stop(self) -> None:
        """Stop the server."""
        self.server.stop()

    def __call__(self, environ, start_response):
        """Run one request and count it."""
        if self.crashed:
            _close(environ)
        if self.faults.down:
            return _http.answer(start_response, "503 Service Unavailable")
        if environ["PATH_INFO"] == "/v1/state":
            return _http.answer_json(
                start_response,
                {"loaded": "", "digest": "", "running": self.running},
            )
        body = _http.read_body(environ)
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        self.runs[request_id] += 1
        if key:
            self.keys[key] += 1
        self.running += 1
        crashes = self.crashes
        try:
            eventlet.sleep(self.latency_s + self.faults.latency_s)
        finally:
            self.running -= 1
        text = self.faults.crash_on.encode()
        if text and text in body and not self.crashed:
            self._crash()
        if self.crashes != crashes:
            _close(environ)
        return _http.answer_json(
            start_response,
            {
                "request": request_id,
                "path": environ["PATH_INFO"],
                "body": body.decode("utf-8", "replace"),
            },
        )

    def _crash(self) -> None:
        self.crashes += 1
        self.crashed = True
        self.server.stop()
        eventlet.spawn_after(self.faults.crash_s, self._restart)

    def _restart(self) -> None:
        self.server = _http.HttpServer(
            application=self, address=self.server.address
        )
        self.crashed = False


def _close(environ: _http.Environ) -> NoReturn:
    """Close the connection without any answer, as a crash does."""
    environ["wsgi.input"].get_socket().shutdown(socket.SHUT_RDWR)
    _http.abort_connection()
