import pathlib
import re

from zinniadyke import telemetry
from zinniadyke.telemetry import _metrics

LIST = pathlib.Path(__file__).parents[1] / "docs/reference/metrics.md"


def test_the_documented_list_equals_the_code():
    rows = re.findall(
        r"^\| ([a-z._]+) \| (?:counter|timing|gauge) ", LIST.read_text(), re.M
    )
    assert rows == [metric.value for metric in telemetry.Metric]


def test_metrics_leave_with_prefix_and_label(monkeypatch):
    sent = []

    class Client:
        def incr(self, name, by):
            sent.append((name, by))

    monkeypatch.setattr(_metrics._Sink, "client", Client())
    telemetry.count(telemetry.Metric.REQUESTS, 2, label="1000")
    assert sent == [("requests.1000", 2)]
