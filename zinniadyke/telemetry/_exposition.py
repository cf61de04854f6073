"""Serves metrics over HTTP in the Prometheus text format."""

import logging

import eventlet
from eventlet import wsgi
import prometheus_client

from zinniadyke import listening

DISCARD_LOGGER = logging.getLogger("zinniadyke.telemetry.wsgi")
DISCARD_LOGGER.propagate = False
DISCARD_LOGGER.addHandler(logging.NullHandler())

PATH = "/metrics"
PREFIX = "zinniadyke_"
# Bounds of latency histograms: latency objectives lie between 0.15 and 0.4 s,
# timeouts between 0.8 and 6 s.
BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.8, 1.5, 3.0, 6.0)


class Exposition:
    """Collects metrics and serves them over HTTP."""

    def __init__(self, *, address: str) -> None:
        """Listen on ``ip:port`` and start serving."""
        self.registry = prometheus_client.CollectorRegistry()
        self.found: dict[str, object] = {}
        self.socket = listening.listen(address)
        self.task = eventlet.spawn(
            wsgi.server,
            self.socket,
            self._handle_request,
            log=DISCARD_LOGGER,
            log_output=False,
            debug=False,
        )

    def stop(self) -> None:
        """Stop serving and close the socket."""
        self.task.kill()
        self.socket.close()

    def count(self, name: str, by: int, label: str) -> None:
        """Add to a counter."""
        self._get_or_create(prometheus_client.Counter, name).labels(label).inc(
            by
        )

    def gauge(self, name: str, value: float, label: str) -> None:
        """Set a gauge."""
        self._get_or_create(prometheus_client.Gauge, name).labels(label).set(
            value
        )

    def timing(self, name: str, seconds: float, label: str) -> None:
        """Record a duration in a histogram."""
        found = self._get_or_create(
            prometheus_client.Histogram, name + "_seconds", buckets=BUCKETS_S
        )
        found.labels(label).observe(seconds)

    def _get_or_create(self, kind: type, name: str, **options):
        name = PREFIX + name.replace(".", "_")
        if name not in self.found:
            self.found[name] = kind(
                name, name, ["label"], registry=self.registry, **options
            )
        return self.found[name]

    def _handle_request(self, environ, start_response):
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
