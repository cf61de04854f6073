"""Metrics by statsd. Without settings they go nowhere."""

import enum
import typing

if typing.TYPE_CHECKING:
    import statsd


class Metric(enum.Enum):
    """Names of all metrics, below the prefix of the settings."""

    REQUESTS = "requests"
    REQUEST_TIME = "request_time"
    ATTEMPTS_REPEATED = "attempts_repeated"
    CHUNKS_ORIGIN_BYTES = "chunks.origin_bytes"
    CHUNKS_PEER_BYTES = "chunks.peer_bytes"
    CHUNKS_CORRUPT = "chunks.corrupt"
    ACTIVATIONS = "activations"
    ACTIVATIONS_FAILED = "activations_failed"
    CONFIG_REVISION = "config_revision"
    PLATFORM_CALLS = "platform_calls"


class _Sink:
    """Holds the process's client."""

    client: "statsd.StatsClient | None" = None


def set_up_metrics(host: str, port: int, prefix: str) -> None:
    """Send metrics to a statsd server by UDP."""
    import statsd  # only some deployments use it

    _Sink.client = statsd.StatsClient(host, port, prefix=prefix)


def count(metric: Metric, by: int = 1, label: str = "") -> None:
    """Add to a counter; ``label`` becomes the last part of its name."""
    if _Sink.client is not None:
        _Sink.client.incr(_name(metric, label), by)


def gauge(metric: Metric, value: float, label: str = "") -> None:
    """Set a gauge."""
    if _Sink.client is not None:
        _Sink.client.gauge(_name(metric, label), value)


def timing(metric: Metric, seconds: float, label: str = "") -> None:
    """Record a duration, sent in milliseconds."""
    if _Sink.client is not None:
        _Sink.client.timing(_name(metric, label), seconds * 1000)


def _name(metric: Metric, label: str) -> str:
    return f"{metric.value}.{label}" if label else metric.value
