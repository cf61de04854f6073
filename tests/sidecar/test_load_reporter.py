import pytest

from tests.gateway import deployment as deploy
from zinniadyke import directory
from zinniadyke import platform
from zinniadyke import reports
from zinniadyke.sidecar import _load_reporter


def evacuations(era, revision, *zones):
    return reports.Evacuations(era=era, revision=revision, zones=list(zones))


@pytest.fixture
def reporter():
    made = _load_reporter.LoadReporter(
        ip="127.0.0.1",
        port=deploy.free_port(),
        region="r1",
        address="127.0.0.1:1",
        target=None,
        view=directory.View(),
    )
    yield made
    made.sock.close()


def test_agent_passes_on_the_newest_evacuations_it_was_told(reporter):
    """An entry that was cut off repeats what it knew before."""
    sent = []
    reporter.broadcast = sent.append
    report = platform.EngineReport(
        weights={},
        running=0,
        waiting=0,
        born_ms=1,
        order_in_progress=False,
        orders_begun=0,
        leaving=False,
    )
    reporter.publish_report(report)
    assert sent[-1].evacuations is None
    for told in (
        None,
        evacuations(1, 7, "z1"),
        evacuations(1, 6),
        None,
        evacuations(0, 99),
    ):
        message = reports.Subscribe(entry="e", named={}, evacuations=told)
        reporter._handle_subscription(message, ("127.0.0.1", 1))
    # Although nothing else has changed since the last report.
    reporter.publish_report(report)
    assert sent[-1].evacuations == evacuations(1, 7, "z1")
    sent[-1] = reports.decode(reports.encode(sent[-1]))
    assert sent[-1].evacuations == evacuations(1, 7, "z1")


def test_refused_callers_go_to_the_other_entries_of_the_region(reporter):
    """An entry that did not refuse a caller would take it for a new one."""
    sent = []
    reporter._send_to = lambda data, receiver: sent.append(receiver)
    for port, region in ((1, "r1"), (2, "r1"), (3, "r2")):
        reporter._handle_subscription(
            reports.Subscribe(entry=f"e{port}", named={}, region=region),
            ("127.0.0.1", port),
        )
    reporter.relay_to_region(
        reports.RefusedCallers(callers=[]), ("127.0.0.1", 1)
    )
    assert sent == [("127.0.0.1", 2)]
