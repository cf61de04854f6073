"""Structured logs, and metrics by statsd or HTTP."""

from zinniadyke.telemetry._logs import set_up_logs
from zinniadyke.telemetry._metrics import count
from zinniadyke.telemetry._metrics import gauge
from zinniadyke.telemetry._metrics import Metric
from zinniadyke.telemetry._metrics import serve_metrics
from zinniadyke.telemetry._metrics import set_up_metrics
from zinniadyke.telemetry._metrics import timing

__all__ = [
    "Metric",
    "count",
    "gauge",
    "serve_metrics",
    "set_up_logs",
    "set_up_metrics",
    "timing",
]
