"""The ways of docs/OPERATIONS.md from a request's id to its cause."""

import json
import logging
import pathlib
import re

import eventlet
import pytest
from pythonjsonlogger import json as json_logger

from tests.gateway import deployment as deploy

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


@pytest.fixture
def log():
    """The lines that a process would write, as they are written."""
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


def ask(made, path, request_id):
    return made.ask(path, X_Zinniadyke_Request_Id=request_id)


def test_refused_request_tells_what_decided(log):
    with deploy.deployment(lambda exchange: None) as made:
        made.store.remove("servers", made.targets[0].name)
        assert deploy.wait_until(lambda: not made.gateway.view.targets)
        status, *_ = ask(made, "/once/x", "refused-1")
        assert status == 503
    (line,) = grep(log, "refused-1")
    assert (line["result"], line["targets"]) == ("NO_TARGET", [])
    # The target that is missing is named in a line of its own.
    assert any(
        other["message"] == "target gone"
        and other["target"] == made.targets[0].name
        for other in log
    )


def test_broken_request_tells_each_attempt(log):
    def tear(exchange):
        exchange.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort")
        exchange.reset()

    with deploy.deployment(tear) as made:
        assert ask(made, "/once/x", "broken-1")[0] == 502
    attempt, request = grep(log, "broken-1")
    assert attempt["message"] == "attempt ended"
    assert attempt["outcome"] == "broken"
    assert attempt["reason"]
    assert request["targets"] == [attempt["target"]]


def test_late_request_tells_where_the_time_went(log):
    def slow(exchange):
        eventlet.sleep(0.3)
        exchange.answer(200, b"late")

    with deploy.deployment(slow) as made:
        assert ask(made, "/once/x", "late-1")[0] == 200
    (line,) = grep(log, "late-1")
    assert line["ms"] >= 300
    assert line["sent_ms"] < 200
    assert {"load", "load_age_ms", "waited_ms"} <= line.keys()


def test_page_names_only_fields_that_lines_have(log):
    """Fields in the page's examples of request lines are those of today."""

    def slow(exchange):
        exchange.answer(200, b"ok")

    with deploy.deployment(slow) as made:
        ask(made, "/once/x", "any-1")
    (line,) = grep(log, "any-1")
    known = {*line, "first_ms", "gap_ms", "waiting", "expected_wait_ms"}
    known |= {"patience_ms", "target", "outcome", "reason", "after_ms"}
    shown = re.findall(r'^    .*?"message": ', PAGE.read_text(), re.M)
    assert len(shown) >= 3
    for block in re.findall(r"^    \{.*?\}$", PAGE.read_text(), re.M | re.S):
        assert set(json.loads(block)) <= known
