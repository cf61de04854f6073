"""Cold targets, which take few requests a second from all entries."""

import time

import eventlet
import pytest

from tests.gateway import fleet as fleets

NETWORK = "127.9.6"
ENTRIES = 5
COLD_PER_S = 12
COLD = {"cold_s": 60.0, "cold_per_s": COLD_PER_S}
BOUNDS = {"cold_overage": 1.5, "cold_slack": 5.0}
# Stated bound in any second, also while entries are cut off.
ALLOWED = 1.5 * COLD_PER_S + 5
COLD_S = 60.0
LOAD_S = 6.0
REQUESTS_PER_S = 60
SETTLING_S = 1.5


def most_in_a_second(times):
    return max(sum(at <= t < at + 1.0 for t in times) for at in times)


def make_fleet(*, bounds=BOUNDS, **more):
    made = fleets.Fleet(
        network=NETWORK,
        entries=ENTRIES,
        slots=64,
        **{
            "models": 1,
            "service": COLD,
            **bounds,
            **more,
        },
    )
    assert made.wait_ready()
    return made


@pytest.fixture
def fleet():
    made = make_fleet()
    try:
        yield made
    finally:
        made.stop()


def make_cold(target):
    """Let a target be cold and all entries learn it."""
    target.cold_until = time.monotonic() + COLD_S
    eventlet.sleep(0.6)


def send_load(fleet, seconds=LOAD_S, path="/s/x", at=()):
    """Send requests at all entries; call functions at given times."""
    pool = eventlet.GreenPool()
    started = time.monotonic()
    for when, act in at:
        pool.spawn_n(lambda w, a: (eventlet.sleep(w), a()), when, act)
    for number in range(int(seconds * REQUESTS_PER_S)):
        pool.spawn_n(
            fleet.ask, number % ENTRIES, f"q{number}", "a:1,b:1", path
        )
        due = started + (number + 1) / REQUESTS_PER_S
        eventlet.sleep(max(due - time.monotonic(), 0))
    pool.waitall()
    return started


def arrivals(target):
    return [at for at, _ in target.arrivals]


def test_cold_target_gets_nearly_its_rate_and_never_more(fleet):
    (target,) = fleet.models
    make_cold(target)
    started = send_load(fleet)
    times = arrivals(target)
    assert most_in_a_second(times) <= COLD_PER_S
    steady = [at for at in times if started + 1 < at <= started + LOAD_S]
    assert len(steady) >= 0.9 * 0.8 * COLD_PER_S * (LOAD_S - 1)


def test_entries_cut_off_from_the_agent_keep_the_bound(fleet):
    (target,) = fleet.models
    make_cold(target)
    for made in fleet.gateways[:3]:
        made.load_listener._send = lambda data, host_ip: None
    started = send_load(fleet)
    times = arrivals(target)
    assert most_in_a_second(times) <= ALLOWED
    # Those that are not cut off are served throughout.
    for second in range(1, int(LOAD_S)):
        assert any(
            started + second < at <= started + second + 1 for at in times
        )


def test_agent_that_dies_leaves_shares_within_the_limit(fleet):
    (target,) = fleet.models
    make_cold(target)
    started = send_load(fleet, at=[(2.0, fleet.agents[0].close)])
    times = arrivals(target)
    assert most_in_a_second(times) <= COLD_PER_S
    late = [at for at in times if started + 4.0 < at <= started + LOAD_S]
    assert len(late) >= ENTRIES


def test_retries_and_resumed_streams_count(fleet_of_two):
    """A target that breaks all streams off is followed by a cold one."""
    broken, cold = fleet_of_two.models
    make_cold(cold)
    broken.resets_left = 10**6
    send_load(fleet_of_two)
    assert most_in_a_second(arrivals(cold)) <= COLD_PER_S
    assert len(arrivals(broken)) > COLD_PER_S


@pytest.fixture
def fleet_of_two():
    made = make_fleet(models=2)
    try:
        yield made
    finally:
        made.stop()


@pytest.mark.parametrize(
    ("service", "bounds"), [(COLD, {}), ({"cold_s": 60.0}, BOUNDS)]
)
def test_nothing_is_limited_without_a_rate_or_bounds(service, bounds):
    made = make_fleet(service=service, bounds=bounds)
    try:
        (target,) = made.models
        make_cold(target)
        send_load(made, seconds=2.0)
        assert len(target.arrivals) == 2.0 * REQUESTS_PER_S
        for system in made.gateways:
            for state in system.target_table.states.values():
                assert state.tokens is None
    finally:
        made.stop()


def test_agentless_cold_target_keeps_its_rate():
    made = make_fleet(desks=1)
    try:
        (desk,) = made.desks
        make_cold(desk)
        # Each entry learns it from an answer.
        for entry in range(ENTRIES):
            made.ask(entry, f"first{entry}", path="/files/x")
        desk.arrivals.clear()
        started = send_load(made, path="/files/x")
        times = arrivals(desk)
        assert most_in_a_second(times) <= COLD_PER_S
        steady = [at for at in times if at > started + SETTLING_S]
        expected = 0.8 * COLD_PER_S * (LOAD_S - SETTLING_S)
        assert len(steady) >= 0.9 * expected
    finally:
        made.stop()
