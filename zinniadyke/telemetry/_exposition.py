"""Serves metrics over HTTP in the Prometheus text format."""

import collections
import logging
import time

import eventlet
from eventlet import wsgi
import prometheus_client

from zinniadyke import listening

LOG = logging.getLogger(__name__)
DISCARD_LOGGER = logging.getLogger("zinniadyke.telemetry.wsgi")
DISCARD_LOGGER.propagate = False
DISCARD_LOGGER.addHandler(logging.NullHandler())

PATH = "/metrics"
PREFIX = "zinniadyke_"
# Bounds of latency histograms: latency objectives lie between 0.15 and 0.4 s,
# timeouts between 0.8 and 6 s.
BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.8, 1.5, 3.0, 6.0)
# Label of the series for all that would exceed the limit.
OVERFLOW_LABEL = "other"
# A series that was not updated for this time gives way to a new one.
IDLE_SERIES_S = 3600.0


class Exposition:
    """Collects metrics and serves them over HTTP.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.
    max_series
        Number of series of one metric; one of a histogram takes some 12 KB.
        Labels come from configurations, whose names change for as long as the
        process runs.

    Attributes
    ----------
    metrics
        Metric of each name.
    series
        Labels of each metric, with the monotonic time of their last update
        in seconds; the one that was not updated for longest first.
    overflowing
        Names of metrics that have exceeded the limit.
    """

    def __init__(self, *, address: str, max_series: int) -> None:
        """Start serving."""
        self.max_series = max_series
        self.metrics: dict[str, object] = {}
        self.series: dict[str, collections.OrderedDict[str, float]] = {}
        self.overflowing: set[str] = set()
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
        self._series(prometheus_client.Counter, name, label).inc(by)

    def gauge(self, name: str, value: float, label: str) -> None:
        """Set a gauge."""
        self._series(prometheus_client.Gauge, name, label).set(value)

    def timing(self, name: str, seconds: float, label: str) -> None:
        """Record a duration in a histogram."""
        self._series(
            prometheus_client.Histogram,
            name + "_seconds",
            label,
            buckets=BUCKETS_S,
        ).observe(seconds)

    def _series(self, kind: type, name: str, label: str, **options):
        """Return the series of a label, or that for the rest."""
        name = PREFIX + name.replace(".", "_")
        if name not in self.metrics:
            self.metrics[name] = kind(
                name, name, ["label"], registry=None, **options
            )
            self.series[name] = collections.OrderedDict()
        metric, series = self.metrics[name], self.series[name]
        now = time.monotonic()
        if label not in series and len(series) >= self.max_series:
            oldest, updated_at = next(iter(series.items()))
            if now - updated_at >= IDLE_SERIES_S:
                metric.remove(oldest)
                del series[oldest]
            else:
                self._note_overflow(name)
                label = OVERFLOW_LABEL
        series[label] = now
        series.move_to_end(label)
        return metric.labels(label)

    def _note_overflow(self, name: str) -> None:
        if name not in self.overflowing:
            self.overflowing.add(name)
            LOG.warning(
                "metric has too many series",
                extra={"metric": name, "limit": self.max_series},
            )

    def _encode(self) -> bytes:
        """Return all metrics; others run after each."""
        parts = []
        for metric in list(self.metrics.values()):
            parts.append(prometheus_client.generate_latest(metric))
            eventlet.sleep(0)
        return b"".join(parts)

    def _handle_request(self, environ, start_response):
        if environ["PATH_INFO"] != PATH:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        body = self._encode()
        start_response(
            "200 OK",
            [
                ("Content-Type", prometheus_client.CONTENT_TYPE_LATEST),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]
