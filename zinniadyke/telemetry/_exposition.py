"""Metrics as text for those who fetch them."""

import logging

import eventlet
from eventlet import wsgi
import prometheus_client

from zinniadyke import listening

QUIET = logging.getLogger("zinniadyke.telemetry.wsgi")
QUIET.propagate = False
QUIET.addHandler(logging.NullHandler())

PATH = "/metrics"
PREFIX = "zinniadyke_"
# Bounds of latency histograms, in seconds: objectives lie at 0.15 to 0.4 s,
# timeouts at 0.8 to 6 s.
BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.8, 1.5, 3.0, 6.0)


class Exposition:
    """Collects metrics and serves them over HTTP."""

    def __init__(self, *, address: str) -> None:
        """Listen on ``ip:port``."""
        self.registry = prometheus_client.CollectorRegistry()
        self.found: dict[str, object] = {}
        self.socket = listening.listen(address)
        self.task = eventlet.spawn(
            wsgi.server,
            self.socket,
            self._answer,
            log=QUIET,
            log_output=False,
            debug=False,
        )

    def stop(self) -> None:
        """Stop serving."""
        self.task.kill()
        self.socket.close()

    def count(self, name: str, by: int, label: str) -> None:
        """Add to a counter."""
        self._get(prometheus_client.Counter, name).labels(label).inc(by)

    def gauge(self, name: str, value: float, label: str) -> None:
        """Set a gauge."""
        self._get(prometheus_client.Gauge, name).labels(label).set(value)

    def timing(self, name: str, seconds: float, label: str) -> None:
        """Record a duration in a histogram."""
        found = self._get(
            prometheus_client.Histogram, name + "_seconds", buckets=BUCKETS_S
        )
        found.labels(label).observe(seconds)

    def _get(self, kind: type, name: str, **more):
        name = PREFIX + name.replace(".", "_")
        if name not in self.found:
            self.found[name] = kind(
                name, name, ["label"], registry=self.registry, **more
            )
        return self.found[name]

    def _answer(self, environ, start_response):
        if environ["PATH_INFO"] != PATH:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        body = prometheus_client.generate_latest(self.registry)
        start_response(
            "200 OK",
            [
                ("Content-Type", prometheus_client.CONTENT_TYPE_LATEST),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]
