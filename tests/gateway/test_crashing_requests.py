"""Requests that crash each target that begins to run them."""

import eventlet
import pytest

from tests.gateway import fleet as fleets

NETWORK = "127.9.3"
ENTRIES = 3
CRASHING_BODY = b"deadly"
SHARED_PARTS = "5a5a01:40,{:06x}:100"
# Result code of a request that is refused as equal ones crash targets.
REFUSED = "3009"
# Requests from which the entries have to learn it.
MAX_CRASHING = 20
# From this time after the third crash on, at most ``MAX_LATE`` arrive.
SETTLING_S = 3.0
MAX_LATE = 3


def is_crashing(exchange):
    return exchange.body == CRASHING_BODY


@pytest.fixture
def fleet():
    made = fleets.Fleet(network=NETWORK, entries=ENTRIES, desks=3)
    for target in made.targets:
        target.crashes_on = is_crashing
    try:
        assert made.wait_ready()
        yield made
    finally:
        made.stop()


@pytest.mark.parametrize("path", ["/files/x", "/slots/x", "/s/x"])
def test_request_that_crashes_targets_is_refused_by_all_entries(fleet, path):
    """The third path is that of model servers, which have agents."""
    targets = fleet.models if path == "/s/x" else fleet.desks
    answers = {}

    def ask(kind, number, body):
        parts = SHARED_PARTS.format(number) if path == "/s/x" else ""
        answers[kind, number] = fleet.ask(
            number % ENTRIES,
            f"{kind}{number}",
            parts=parts,
            path=path,
            body=body,
        )

    pool = eventlet.GreenPool()
    for number in range(MAX_CRASHING):
        pool.spawn_n(ask, "d", number, CRASHING_BODY)
        for copy in range(3):
            pool.spawn_n(ask, "s", 3 * number + copy, b"sound%d" % number)
            eventlet.sleep(0.15)
    pool.waitall()
    times = sorted(
        at for t in targets for at, e in t.arrivals if is_crashing(e)
    )
    third = fleet.crashes[2]
    late = [at for at in times if at > third + SETTLING_S]
    assert len(late) <= MAX_LATE
    assert fleet.wait_all_serve()
    arrived, crashed = len(times), len(fleet.crashes)
    for number in range(1000, 1000 + 2 * ENTRIES):
        ask("d", number, CRASHING_BODY)
        ask("s", number, b"sound")
        assert answers["d", number][:2] == (503, REFUSED)
        assert answers["s", number][0] == 200
    assert len(fleet.crashes) == crashed
    assert arrived == sum(
        is_crashing(e) for t in targets for _, e in t.arrivals
    )


def test_request_cut_off_by_targets_that_run_on_is_not_refused(fleet):
    """Connections that break say nothing about the request."""
    for target in fleet.desks:
        target.crashes_on = lambda exchange: False
        target.resets_left = 8
    for number in range(3 * 8):
        fleet.ask(number % ENTRIES, f"r{number}", path="/files/x")
        eventlet.sleep(0.05)
    assert not any(t.resets_left for t in fleet.desks)
    eventlet.sleep(0.5)
    for entry in range(ENTRIES):
        assert fleet.ask(entry, "after", path="/files/x")[:2] == (200, "")
