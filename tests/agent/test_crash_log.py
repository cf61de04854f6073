import types

import eventlet

from zinniadyke.agent import _crash_log
from zinniadyke import peers


class Log:
    """A crash log of an engine that a test stops."""

    def __init__(self):
        self.runs_on = True
        self.told = 0
        self.log = _crash_log.CrashLog(
            incarnation="a1",
            runs_on=lambda version: self.runs_on,
            on_news=self.count,
        )

    def count(self):
        self.told += 1

    def cut_off(self, request, *parts):
        self.log.record_cut_off(
            types.SimpleNamespace(
                version="m/1", request_id=request, suspects=list(parts)
            )
        )


def test_requests_that_an_engine_cut_off_together_are_one_crash():
    made = Log()
    made.runs_on = False
    made.cut_off("r1", "a", "b")
    made.cut_off("r2", "a")
    eventlet.sleep(2 * _crash_log.GATHER_S)
    (crash,) = made.log.recent_crashes()
    assert crash.suspects == {"r1": ["a", "b"], "r2": ["a"]}
    assert made.told == made.log.news == 1


def test_answers_that_an_engine_breaks_off_while_it_runs_on_are_no_crash():
    made = Log()
    made.cut_off("r1", "a")
    eventlet.sleep(2 * _crash_log.GATHER_S)
    assert made.log.recent_crashes() == []
    assert made.told == 0


def test_findings_of_an_entry_are_news_once():
    made = Log()
    findings = peers.SuspectFindings(refused={"a": 5.0}, cleared={"b": 0.0})
    made.log.record_findings(findings)
    made.log.record_findings(findings)
    assert made.told == 1
    told = made.log.findings()
    assert set(told.refused) == {"a"}
    assert set(told.cleared) == {"b"}


def test_part_that_is_cleared_again_is_news_again():
    made = Log()
    made.log.record_findings(peers.SuspectFindings(cleared={"b": 1.0}))
    made.log.record_findings(peers.SuspectFindings(cleared={"b": 0.0}))
    assert made.told == 2


def test_cleared_part_is_refused_no_more():
    made = Log()
    made.log.record_findings(peers.SuspectFindings(refused={"a": 5.0}))
    made.log.record_findings(peers.SuspectFindings(cleared={"a": 0.0}))
    assert made.log.findings().refused == {}
    assert made.told == 2
