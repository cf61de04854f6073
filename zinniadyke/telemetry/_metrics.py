"""Sends metrics to statsd, serves them over HTTP, or discards them."""

import enum
import typing

if typing.TYPE_CHECKING:
    import statsd

    from zinniadyke.telemetry import _exposition


class Metric(enum.Enum):
    """Names of all metrics, without the prefix from the settings."""

    REQUESTS = "requests"
    REQUEST_TIME = "request_time"
    ATTEMPTS_REPEATED = "attempts_repeated"
    # Retries that the budget of all entries did not allow.
    RETRIES_DENIED = "retries_denied"
    CHUNKS_ORIGIN_BYTES = "chunks.origin_bytes"
    CHUNKS_PEER_BYTES = "chunks.peer_bytes"
    CHUNKS_CORRUPT = "chunks.corrupt"
    ACTIVATIONS = "activations"
    ACTIVATIONS_FAILED = "activations_failed"
    CONFIG_REVISION = "config_revision"
    PLATFORM_CALLS = "platform_calls"
    PLATFORM_FAILURES = "platform_failures"
    # Times that the store had not answered for a second.
    STORE_OUTAGES = "store_outages"
    # Objects that disappeared around an outage and stay in use for a while.
    LAPSED_KEPT = "lapsed_kept"
    STORE_RESTORED = "store_restored"
    # Answers of the store whose era is an earlier one or not stated.
    STORE_ANSWERS_DROPPED = "store_answers_dropped"
    FIRST_PART_TIME = "first_part_time"
    ATTEMPTS = "attempts"
    # Ejections of targets that failed.
    TARGET_RESTS = "target_rests"
    # Times that a target asked this host to stay away (Retry-After).
    TARGETS_CLOSED = "targets_closed"
    # Limits that became known or ended, of targets that name one.
    TARGET_LIMITS = "target_limits"
    # Times that a target became cold, or may have become so unnoticed.
    TARGETS_COLD = "targets_cold"
    # Targets that said in an answer that they are leaving.
    TARGETS_LEAVING = "targets_leaving"
    # Answers of targets that were broken off, as they exceeded a limit.
    ANSWERS_OVER_LIMIT = "answers_over_limit"
    # Prompt parts that were found to crash targets.
    PROMPT_PARTS_REFUSED = "prompt_parts_refused"
    # Requests that were found to crash targets, equal ones once.
    CONTENTS_REFUSED = "contents_refused"
    # Zones in which no target gets requests.
    EVACUATED_ZONES = "evacuated_zones"
    # Requests whose caller was refused before and has come back.
    CALLERS_RETURNED = "callers_returned"
    # Requests that wait for a slot although they miss their objective.
    LATE_WAITS = "late_waits"
    # Bytes that an entry holds for callers and targets.
    HELD_BYTES = "held_bytes"
    # Requests that arrive in a second, by priority of their route.
    DEMAND = "demand"
    # Slots that requests of a route leave free for more urgent ones.
    RESERVED_SLOTS = "reserved_slots"
    # Connections that a stop ended without an answer before.
    STOP_CLOSED = "stop_closed"
    # Requests that still ran just before the end of a stop.
    STOP_INTERRUPTED = "stop_interrupted"
    QUEUE_LENGTH = "queue_length"
    # Mean over the used targets of a service that report it.
    HOST_SLOWNESS = "host_slowness"
    WEIGHTS_VERSION = "weights_version"
    ORDERS = "orders"


class _Sink:
    """The process's statsd client and HTTP exposition, if set up."""

    client: "statsd.StatsClient | None" = None
    exposition: "_exposition.Exposition | None" = None


def set_up_metrics(host: str, port: int, prefix: str) -> None:
    """Send metrics to a statsd server by UDP."""
    import statsd  # loaded only where statsd is configured

    _Sink.client = statsd.StatsClient(host, port, prefix=prefix)


def serve_metrics(address: str, max_series: int) -> None:
    """Serve metrics over HTTP at ``ip:port``.

    Parameters
    ----------
    max_series
        Number of series that one metric may have.

    Raises
    ------
    OSError
        The address cannot be used.
    """
    from zinniadyke.telemetry import _exposition  # loads prometheus_client

    _Sink.exposition = _exposition.Exposition(
        address=address, max_series=max_series
    )


def count(metric: Metric, by: int = 1, label: str = "") -> None:
    """Add to a counter; in statsd, ``label`` is appended to its name."""
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
    """Record a duration; statsd gets it in milliseconds."""
    if _Sink.client is not None:
        _Sink.client.timing(_name(metric, label), seconds * 1000)
    if _Sink.exposition is not None:
        _Sink.exposition.timing(metric.value, seconds, label)


def _name(metric: Metric, label: str) -> str:
    return f"{metric.value}.{label}" if label else metric.value
