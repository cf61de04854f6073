import os
import pathlib
import re

import pytest
import urllib3

from tests import clock
from tests.gateway import deployment as deploy
from zinniadyke import telemetry
from zinniadyke.telemetry import _exposition
from zinniadyke.telemetry import _line_writer
from zinniadyke.telemetry import _metrics

METRICS_PAGE = pathlib.Path(__file__).parents[1] / "docs/reference/metrics.md"


def test_documented_metrics_match_code():
    rows = re.findall(
        r"^\| ([a-z._]+) \| (?:counter|timing|gauge) ",
        METRICS_PAGE.read_text(),
        re.M,
    )
    assert rows == [metric.value for metric in telemetry.Metric]


def test_counter_name_is_sent_with_label(monkeypatch):
    sent = []

    class Client:
        def incr(self, name, by):
            sent.append((name, by))

    monkeypatch.setattr(_metrics._Sink, "client", Client())
    telemetry.count(telemetry.Metric.REQUESTS, 2, label="1000")
    assert sent == [("requests.1000", 2)]


def test_metrics_are_served_as_text():
    exposition = _exposition.Exposition(address="127.0.0.1:0", max_series=9)
    try:
        exposition.count("requests", 2, "1000")
        exposition.gauge("queue_length", 3, "desk")
        exposition.timing("request_time", 0.25, "clinic.r1")
        host, port = exposition.socket.getsockname()
        answer = urllib3.request("GET", f"http://{host}:{port}/metrics")
        text = answer.data.decode()
    finally:
        exposition.stop()
    assert 'zinniadyke_requests_total{label="1000"} 2.0' in text
    assert 'zinniadyke_queue_length{label="desk"} 3.0' in text
    bucket = 'seconds_bucket{label="clinic.r1",le="0.3"} 1.0'
    assert f"zinniadyke_request_time_{bucket}" in text


@pytest.fixture
def exposition(monkeypatch):
    manual_clock = clock.Clock()
    monkeypatch.setattr(_exposition.time, "monotonic", manual_clock.monotonic)
    made = _exposition.Exposition(address="127.0.0.1:0", max_series=10)
    made.clock = manual_clock
    yield made
    made.stop()


def labels(exposition):
    """Return the labels of a metric that are served."""
    return re.findall(
        r'^zinniadyke_\w+_count\{label="(\w+)"',
        exposition._encode().decode(),
        re.M,
    )


def test_new_series_beyond_the_limit_count_together(exposition, caplog):
    """Guards against names of configurations that fill the memory."""
    for number in range(1000):
        exposition.timing("request_time", 0.1, f"r{number}")
    assert labels(exposition) == [*(f"r{n}" for n in range(10)), "other"]
    text = exposition._encode().decode()
    assert 'request_time_seconds_count{label="other"} 990.0' in text
    exposition.timing("request_time", 0.1, "r3")
    text = exposition._encode().decode()
    assert 'request_time_seconds_count{label="r3"} 2.0' in text
    assert [r.message for r in caplog.records] == [
        "metric has too many series"
    ]


def test_idle_series_gives_way_to_a_new_one(exposition):
    for number in range(10):
        exposition.timing("request_time", 0.1, f"r{number}")
    exposition.clock.now += _exposition.IDLE_SERIES_S
    exposition.timing("request_time", 0.1, "r0")
    exposition.timing("request_time", 0.1, "new")
    assert "new" in labels(exposition)
    assert "r0" in labels(exposition)
    assert "r1" not in labels(exposition)
    assert len(labels(exposition)) == 10


def test_others_run_while_metrics_are_encoded(exposition, monkeypatch):
    for name in ("a", "b", "c"):
        exposition.count(name, 1, "x")
    turns = []
    monkeypatch.setattr(_exposition.eventlet, "sleep", turns.append)
    exposition._encode()
    assert len(turns) == 3


def test_times_are_kept_by_service_and_not_by_route(monkeypatch):
    """Guards against a series for each pair of workspace and route."""
    timed = []

    class Sink:
        def count(self, *args):
            """Ignore the counter."""

        gauge = count

        def timing(self, name, seconds, label):
            timed.append((name, label))

    monkeypatch.setattr(_metrics._Sink, "exposition", Sink())
    with deploy.deployment(lambda e: e.answer(200, b"ok")) as system:
        for path in ("/once/x", "/again/x"):
            assert system.ask(path)[0] == 200
    assert set(timed) == {("request_time", "clinic.desk")}


def test_log_lines_over_rate_limit_are_dropped_and_counted():
    manual_clock = clock.Clock()
    reader, writer_fd = os.pipe()
    writer = _line_writer.LineWriter(
        fd=writer_fd, clock=manual_clock.monotonic
    )
    written = [writer.write(f"line {n}") for n in range(700)]
    assert sum(written) == 600
    assert writer.dropped == 100
    manual_clock.now += 1.0
    assert writer.write("after")
    assert writer.dropped == 0
    os.close(reader)
    os.close(writer_fd)


def test_log_writer_does_not_block_on_its_reader():
    reader, writer_fd = os.pipe()
    manual_clock = clock.Clock()
    writer = _line_writer.LineWriter(
        fd=writer_fd, clock=manual_clock.monotonic
    )
    for _ in range(500):
        manual_clock.now += 1.0
        writer.write("x" * 2000)
    assert writer.dropped > 0
    os.close(reader)
    writer.flush()
    assert writer.pending == b""
    os.close(writer_fd)
