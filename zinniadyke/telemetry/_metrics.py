"""Metrics by statsd, or as text to be fetched; or else nowhere."""

import enum
import typing

if typing.TYPE_CHECKING:
    import statsd

    from zinniadyke.telemetry import _exposition


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
    PLATFORM_FAILURES = "platform_failures"
    FIRST_PART_TIME = "first_part_time"
    ATTEMPTS = "attempts"
    TARGET_RESTS = "target_rests"
    QUEUE_LENGTH = "queue_length"
    WEIGHTS_VERSION = "weights_version"
    ORDERS = "orders"


class _Sink:
    """Holds the process's client."""

    client: "statsd.StatsClient | None" = None
    exposition: "_exposition.Exposition | None" = None


def set_up_metrics(host: str, port: int, prefix: str) -> None:
    """Send metrics to a statsd server by UDP."""
    import statsd  # only some deployments use it

    _Sink.client = statsd.StatsClient(host, port, prefix=prefix)


def serve_metrics(address: str) -> None:
    """Serve metrics as text at ``ip:port``.

    Raises
    ------
    OSError
        The address cannot be used.
    """
    from zinniadyke.telemetry import _exposition  # a library of its own

    _Sink.exposition = _exposition.Exposition(address=address)


def count(metric: Metric, by: int = 1, label: str = "") -> None:
    """Add to a counter; ``label`` becomes the last part of its name."""
    if _Sink.client is not None:
        _Sink.client.incr(_name(metric, label), by)
    if _Sink.exposition is not None:
        _Sink.exposition.count(metric.value, by, label)


def gauge(metric: Metric, value: float, label: str = "") -> None:
    """Set a gauge."""
    if _Sink.client is not None:
        _Sink.client.gauge(_name(metric, label), value)
    if _Sink.exposition is not None:
        _Sink.exposition.gauge(metric.value, value, label)


def timing(metric: Metric, seconds: float, label: str = "") -> None:
    """Record a duration, sent in milliseconds."""
    if _Sink.client is not None:
        _Sink.client.timing(_name(metric, label), seconds * 1000)
    if _Sink.exposition is not None:
        _Sink.exposition.timing(metric.value, seconds, label)


def _name(metric: Metric, label: str) -> str:
    return f"{metric.value}.{label}" if label else metric.value
