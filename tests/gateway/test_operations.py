"""The steps in docs/OPERATIONS.md from a request's id to a fault's cause."""

import json
import logging
import pathlib
import re

import eventlet
import pytest
from pythonjsonlogger import json as json_logger

from tests.gateway import deployment as deploy
from zinniadyke import directory
from zinniadyke.gateway import _retry_budgets
from zinniadyke import settings

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


@pytest.fixture
def log():
    """Log lines of the process, as parsed JSON."""
    lines = []

    class Collect(logging.Handler):
        def emit(self, record):
            lines.append(json.loads(self.format(record)))

    handler = Collect()
    handler.setFormatter(json_logger.JsonFormatter("%(message)s"))
    root = logging.getLogger("zinniadyke")
    before = root.level
    root.setLevel(logging.INFO)
    root.addHandler(handler)
    yield lines
    root.removeHandler(handler)
    root.setLevel(before)


def grep(log, request_id):
    return [line for line in log if line.get("request") == request_id]


def ask(system, path, request_id):
    return system.ask(path, X_Zinniadyke_Request_Id=request_id)


def test_log_of_a_refused_request_names_the_reason(log):
    with deploy.deployment(lambda exchange: None) as system:
        system.store.remove("servers", system.targets[0].name)
        assert deploy.wait_until(lambda: not system.gateway.view.targets)
        status, *_ = ask(system, "/once/x", "refused-1")
        assert status == 503
    (line,) = grep(log, "refused-1")
    assert (line["result"], line["targets"]) == ("NO_TARGET", [])
    # A separate line names the missing target.
    assert any(
        other["message"] == "target gone"
        and other["target"] == system.targets[0].name
        for other in log
    )


def test_each_attempt_of_a_broken_request_is_logged(log):
    def tear(exchange):
        exchange.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort")
        exchange.reset()

    with deploy.deployment(tear) as system:
        assert ask(system, "/once/x", "broken-1")[0] == 502
    attempt, request = grep(log, "broken-1")
    assert attempt["message"] == "attempt ended"
    assert attempt["outcome"] == "broken"
    assert attempt["reason"]
    assert request["targets"] == [attempt["target"]]


def test_log_of_a_slow_request_shows_the_time_spent(log):
    def slow(exchange):
        eventlet.sleep(0.3)
        exchange.answer(200, b"late")

    with deploy.deployment(slow) as system:
        assert ask(system, "/once/x", "late-1")[0] == 200
    (line,) = grep(log, "late-1")
    assert line["ms"] >= 300
    assert line["sent_ms"] < 200
    assert {"load", "load_age_ms", "waited_ms"} <= line.keys()


def test_page_shows_only_existing_log_fields(log):
    """The page's examples contain only fields that are logged now."""

    def slow(exchange):
        exchange.answer(200, b"ok")

    with deploy.deployment(slow) as system:
        ask(system, "/once/x", "any-1")
    (line,) = grep(log, "any-1")
    known = {*line, "first_ms", "gap_ms", "waiting", "expected_wait_ms"}
    known |= {"patience_ms", "target", "outcome", "reason", "after_ms"}
    view = directory.View()
    view.set_evacuations(
        directory.Evacuations(era=0, revision=1, zones=frozenset({"z1"})),
        source="store",
    )
    (line,) = [r for r in log if r["message"] == "evacuations in force"]
    known |= line.keys()
    budgets = _retry_budgets.RetryBudgets(
        bounds=settings.BoundsSection(), count_entries=lambda: 5
    )
    budgets.withdraw("desk")
    (line,) = [r for r in log if r["message"] == "retries"]
    known |= line.keys()
    shown = re.findall(r'^    .*?"message": ', PAGE.read_text(), re.M)
    assert len(shown) >= 3
    for block in re.findall(r"^    \{.*?\}$", PAGE.read_text(), re.M | re.S):
        assert set(json.loads(block)) <= known
