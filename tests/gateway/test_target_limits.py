"""Targets that limit the requests of all entries together."""

import time

import eventlet
import pytest

from tests.gateway import deployment as deploy
from tests.gateway import fleet as fleets

NETWORK = "127.9.2"
ENTRIES = 5
LIMIT_PER_S = 2.0
# Stated bound: one and a half times the limit and five requests in each
# window, from a settling time after the limit was first named.
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
SETTLING_S = 3.0
LOAD_S = 9.0
REQUEST_INTERVAL_S = 0.04


def most_in_window(times):
    """Return the largest number of requests in a window of ``WINDOW_S``."""
    return max(
        (sum(start <= at < start + WINDOW_S for at in times))
        for start in [*times, 0.0]
    )


@pytest.fixture
def fleet():
    made = fleets.Fleet(network=NETWORK, entries=ENTRIES, models=3, desks=3)
    try:
        assert made.wait_ready()
        yield made
    finally:
        made.stop()


@pytest.mark.parametrize("path", ["/s/x", "/files/x"])
def test_limit_of_a_target_holds_for_all_entries_together(fleet, path):
    limited, *others = fleet.models if path == "/s/x" else fleet.desks
    limited.limit_per_s = LIMIT_PER_S
    answers = []

    def ask(number):
        answers.append(
            fleet.ask(
                number % ENTRIES, f"q{number}", parts="a:1,b:1", path=path
            )
        )

    pool = eventlet.GreenPool()
    for number in range(int(LOAD_S / REQUEST_INTERVAL_S)):
        pool.spawn_n(ask, number)
        eventlet.sleep(REQUEST_INTERVAL_S)
    pool.waitall()
    times = [at for at, _ in limited.arrivals]
    settled = [at for at in times if at >= times[0] + SETTLING_S]
    assert settled
    assert most_in_window(settled) <= ALLOWED
    # The others have room for all that the limited one does not take.
    assert all(len(t.arrivals) > len(times) for t in others)
    assert {status for status, _, _ in answers} == {200}


def answer(exchange):
    exchange.answer(200, b"done")


def limit(per_s):
    def script(exchange):
        exchange.answer(200, b"done", Server_Limit=per_s)

    return script


def test_requests_beyond_all_limits_are_refused_at_once():
    with deploy.deployment(limit("0.2"), limit("0.2")) as system:
        answers = []
        for number in range(12):
            started = time.monotonic()
            status, headers, _, _ = system.ask(
                "/again/x", X_Zinniadyke_Request_Id=f"q{number}"
            )
            answers.append((status, time.monotonic() - started))
            if status != 200:
                assert float(headers["Retry-After"]) > 0
        refused = [took_s for status, took_s in answers if status != 200]
        assert {status for status, _ in answers} <= {200, 429, 503}
        assert len(refused) >= 8
        # A route's objective is 0.3 s; no request waits longer for a token.
        assert sum(took_s < 0.3 for took_s in refused) >= len(refused) - 2
        assert sum(len(t.seen) for t in system.targets) == 12 - len(refused)


def test_target_without_a_limit_any_more_gets_all_requests_again():
    scripts = [limit("0.1"), answer]
    with deploy.deployment(lambda e: scripts[0](e)) as system:
        assert system.ask("/again/x")[0] == 200
        (state,) = system.gateway.target_table.states.values()
        assert state.limit_per_s == 0.1
        scripts.pop(0)
        state.tokens.record_answer(granted=True, next_in_s=0.0)
        assert system.ask("/again/x", X_Zinniadyke_Request_Id="q2")[0] == 200
        assert state.limit_per_s is None
        statuses = [
            system.ask("/again/x", X_Zinniadyke_Request_Id=f"p{n}")[0]
            for n in range(10)
        ]
        assert set(statuses) == {200}


def test_target_that_is_listed_again_is_still_limited():
    with deploy.deployment(limit("0.1")) as system:
        assert system.ask("/open/x")[0] == 200
        spec = system.targets[0].spec
        system.store.remove("servers", "t1")
        assert deploy.wait_until(lambda: not system.gateway.view.targets)
        system.store.put("servers", "t1", spec)
        assert deploy.wait_until(lambda: bool(system.gateway.view.targets))
        (state,) = system.gateway.target_table.states.values()
        assert state.limit_per_s == 0.1


def test_limit_of_another_target_at_the_address_is_not_taken():
    def misdirect(exchange):
        exchange.answer(
            421, b"", Server_Limit="0.1", X_Zinniadyke_Not_Executed="1"
        )

    with deploy.deployment(misdirect) as system:
        system.ask("/open/x")
        (state,) = system.gateway.target_table.states.values()
        assert state.limit_per_s is None


def learn_limits(fleet, limit_per_s):
    """Let each entry learn the limits of the targets without agents."""
    for target in fleet.desks:
        target.limit_per_s = limit_per_s
    states = [
        s
        for g in fleet.gateways
        for s in g.target_table.states.values()
        if s.target.service == fleets.DESK
    ]
    for number in range(100):
        fleet.ask(number % ENTRIES, f"first{number}", path="/files/x")
        if all(s.limit_per_s == limit_per_s for s in states):
            break
    else:
        raise AssertionError("a limit is not known")
    # Until no entry holds a token.
    eventlet.sleep(1.5)


def test_requests_within_all_limits_are_served(fleet):
    """Each entry must borrow a token for each request."""
    learn_limits(fleet, 3.0)
    statuses = []
    for number in range(20):
        statuses.append(
            fleet.ask(number % ENTRIES, f"q{number}", path="/files/x")[0]
        )
        eventlet.sleep(0.25)
    assert set(statuses) == {200}


def test_repeat_waits_a_moment_for_a_token(fleet):
    """A target cuts requests off, and the others are limited too."""
    # A token falls due within the longest wait of a repeat.
    learn_limits(fleet, 5.0)
    fleet.desks[0].resets_left = 3
    statuses = []
    for number in range(20):
        statuses.append(
            fleet.ask(number % ENTRIES, f"q{number}", path="/files/x")[0]
        )
        eventlet.sleep(0.25)
    assert not fleet.desks[0].resets_left
    assert set(statuses) == {200}
