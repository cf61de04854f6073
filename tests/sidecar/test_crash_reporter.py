import contextlib

import eventlet

from zinniadyke import errors
from zinniadyke import listening
from zinniadyke import platform
from zinniadyke import reports
from zinniadyke.sidecar import _crash_reporter

ADDRESS = "10.0.0.1:80"
ENTRY = ("10.0.0.9", 7700)


class Agent:
    """A crash reporter whose target can be down."""

    def __init__(self, born_ms=5):
        self.born_ms = born_ms
        self.down = False
        self.sent = []
        self.ended = set()
        self.reporter = _crash_reporter.CrashReporter(
            address=ADDRESS,
            read_report=self.read_report,
            refuses_connections=lambda address: address in self.ended,
            broadcast=self.sent.append,
        )

    def read_report(self):
        if self.down:
            raise errors.EngineError("down")
        return platform.EngineReport(
            running=0,
            waiting=0,
            orders_begun=0,
            order_in_progress=False,
            born_ms=self.born_ms,
            weights={},
        )

    def interrupt(self, born_ms=5, address=ADDRESS, **requests):
        self.reporter.handle_interruption(
            reports.Interruption(
                address=address, born_ms=born_ms, requests=requests
            ),
            ENTRY,
        )

    @contextlib.contextmanager
    def running(self):
        task = eventlet.spawn(self.reporter.run)
        try:
            yield
            eventlet.sleep(0.4)
        finally:
            task.kill()


def test_requests_of_all_entries_at_a_crash_are_reported_together():
    agent = Agent()
    agent.down = True
    with agent.running():
        agent.interrupt(r1=["a", "b"])
        agent.interrupt(r2=["a"])
    assert {m.crash for m in agent.sent} == {f"{ADDRESS} 5"}
    assert len(agent.sent) == _crash_reporter.REPORT_COPIES
    assert agent.sent[0].requests == {"r1": ["a", "b"], "r2": ["a"]}


def test_answers_cut_off_by_a_target_that_runs_on_are_no_crash():
    agent = Agent()
    with agent.running():
        agent.interrupt(r1=["a"])
    assert agent.sent == []


def test_target_that_has_started_again_has_crashed():
    agent = Agent(born_ms=6)
    with agent.running():
        agent.interrupt(born_ms=5, r1=["a"])
    assert agent.sent[0].crash == f"{ADDRESS} 5"


def test_crash_with_many_requests_is_reported_in_several_datagrams():
    agent = Agent()
    agent.down = True
    requests = {f"r{n}": ["p" * 60] * 20 for n in range(5)}
    with agent.running():
        agent.interrupt(**requests)
    assert all(len(reports.encode(m)) < 2048 for m in agent.sent)
    found = {name for m in agent.sent for name in m.requests}
    assert found == set(requests)


def test_copies_of_an_entry_s_news_are_passed_on_once():
    agent = Agent()
    news = reports.SuspectNews(name="e1 1", refused={"a": 500}, cleared=["b"])
    agent.reporter.handle_news(news, ENTRY)
    agent.reporter.handle_news(
        reports.SuspectNews(name="e1 1", refused={"a": 400}, cleared=["b"]),
        ENTRY,
    )
    assert agent.sent == [news]


def test_part_that_is_cleared_again_is_passed_on_again():
    agent = Agent()
    for number in range(2):
        agent.reporter.handle_news(
            reports.SuspectNews(
                name=f"e1 {number}", refused={}, cleared=["b"]
            ),
            ENTRY,
        )
    assert len(agent.sent) == 2


def test_crash_of_a_target_without_an_agent_is_reported():
    agent = Agent()
    agent.ended.add("10.0.0.2:80")
    with agent.running():
        agent.interrupt(address="10.0.0.2:80", r1=["a"])
        agent.interrupt(address="10.0.0.3:80", r2=["a"])
    assert {m.crash for m in agent.sent} == {"10.0.0.2:80 5"}


def test_starts_that_are_gathered_at_once_are_bounded():
    agent = Agent()
    for number in range(2 * _crash_reporter.MAX_STARTS):
        agent.interrupt(address=f"10.0.0.2:{number}", r1=["a"])
    assert len(agent.reporter.interrupted) == _crash_reporter.MAX_STARTS


def test_address_that_cannot_be_checked_does_not_end_the_reports():
    agent = Agent()
    agent.reporter.refuses_connections = listening.refuses_connections
    agent.down = True
    with agent.running():
        agent.interrupt(address="nonsense", r1=["a"])
        eventlet.sleep(0.3)
        agent.interrupt(r2=["a"])
    assert {m.crash for m in agent.sent} == {f"{ADDRESS} 5"}
