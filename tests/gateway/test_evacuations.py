"""Zones that the operator evacuates, at an entry and through agents."""

import socket
import time

import eventlet
import pytest

from tests.gateway import deployment as deploy
from tests.gateway import fleet as fleets
from zinniadyke import errors
from zinniadyke.fakes import _http
from zinniadyke.gateway import _target_connection
from zinniadyke import reports

REGIONS = {"z1": "r1", "z2": "r2"}
EVACUATE_MS = 5000.0
ZONES_EVACUATED = "3011"
# Stated time in which entries learn from agents what others know.
PEERS_LEARN_S = 0.5
NETWORK = "127.9.4"
DOWN = "503 Down"
# An answer later than this is given up.
LOST_S = 30.0
STOOD_STILL_S = 20.0


def answer(exchange):
    exchange.answer(200, b"done", Content_Type="text/plain")


def turn_away(*arguments, **more):
    raise errors.PlatformError("turned away")


class System(deploy.Deployment):
    """A deployment with targets in several zones."""

    def __init__(self, *, evacuate_ms=EVACUATE_MS, **bounds):
        super().__init__(regions=REGIONS, evacuate_ms=evacuate_ms, **bounds)
        self.kinds_read = []
        self.watches_lost = 0
        self.kinds_down = set()
        serve = self.store._serve

        def serve_some(environ, start_response):
            kind = environ["PATH_INFO"].split("/")[3]
            self.kinds_read.append(kind)
            if kind in self.kinds_down:
                return _http.answer(start_response, DOWN)
            if self.watches_lost and (
                kind == "evacuations"
                and "watch" in environ.get("QUERY_STRING", "")
            ):
                self.watches_lost -= 1
                eventlet.sleep(LOST_S)
            return serve(environ, start_response)

        self.store._serve = serve_some
        self.configure(deploy.configuration())

    @property
    def view(self):
        return self.gateway.view

    def evacuate(self, *zones):
        for zone in zones:
            self.store.put("evacuations", zone, {})
        assert deploy.wait_until(lambda: self.view.evacuated_zones >= {*zones})

    def report_evacuations(self, revision, *zones):
        """Send a report as an agent would."""
        report = reports.LoadReport(
            address="10.0.0.1:1",
            born_ms=1,
            running=0,
            waiting=0,
            entries=1,
            switching=False,
            switch_in_ms=None,
            weights={},
            named={},
            evacuations=reports.Evacuations(
                era=0, revision=revision, zones=list(zones)
            ),
        )
        host = self.gateway.settings.host
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            sock.sendto(reports.encode(report), (host.ip, host.ports[0]))

    def codes(self, path, count=10):
        """Return the status and code of each of some requests."""
        found = set()
        for number in range(count):
            status, headers, _, _ = self.ask(
                path, X_Zinniadyke_Request_Id=f"q{number}"
            )
            found.add((status, headers.get("Zinniadyke-Code")))
        return found


@pytest.fixture
def system():
    made = System()
    yield made
    made.stop()


def test_evacuated_zone_gets_nothing_until_the_removal_returns_it(system):
    one = system.add_target(answer)
    two = system.add_target(answer, zone="z2")
    system.start()
    system.evacuate("z1")
    assert system.codes("/once/x") == {(200, None)}
    assert (len(one.seen), len(two.seen)) == (0, 10)
    system.store.remove("evacuations", "z1")
    assert deploy.wait_until(lambda: not system.view.evacuated_zones)
    assert system.codes("/once/x") == {(200, None)}
    assert one.seen


def test_request_is_refused_at_once_if_all_zones_are_evacuated(system):
    targets = system.add_target(answer), system.add_target(answer, zone="z2")
    system.start()
    system.evacuate("z1", "z2")
    status, headers, _, _ = system.ask("/once/x")
    assert (status, headers["Zinniadyke-Code"]) == (503, ZONES_EVACUATED)
    assert 1.0 <= float(headers["Retry-After"]) <= 3.0
    assert not any(t.seen for t in targets)


def test_retry_does_not_go_to_a_zone_evacuated_meanwhile(system):
    one = system.add_target(lambda e: fail_after_evacuation(e))
    two = system.add_target(answer, zone="z2")

    def fail_after_evacuation(exchange):
        system.evacuate("z2")
        exchange.reset()

    system.gateway.forwarder.zone_penalty = lambda zone: 9.0 * (zone == "z2")
    system.start()
    assert system.ask("/again/x")[0] == 502
    assert len(one.seen) == 1
    assert not two.seen


def test_stream_does_not_resume_in_an_evacuated_zone_but_runs_to_its_end(
    system,
):
    def stream(exchange):
        exchange.head(
            200, "Transfer-Encoding: chunked", Content_Type="text/event-stream"
        )
        exchange.chunk(b"id: 1\ndata: x\n\n")
        system.evacuate("z1", "z2")
        if exchange.request_id == "broken":
            exchange.reset()
            return
        exchange.chunk(b"id: 2\ndata: x\n\n")
        exchange.chunk(b"")

    one = system.add_target(stream)
    two = system.add_target(stream, zone="z2")
    system.start()
    _, _, data, complete = system.ask("/stream/x")
    assert complete and b"id: 2" in data
    for zone in REGIONS:
        system.store.remove("evacuations", zone)
    assert deploy.wait_until(lambda: not system.view.evacuated_zones)
    assert not system.ask("/stream/x", X_Zinniadyke_Request_Id="broken")[3]
    assert len(one.seen) + len(two.seen) == 2


@pytest.mark.parametrize("still_listed", [True, False])
@pytest.mark.parametrize("others", [True, False])
def test_target_chosen_before_an_evacuation_is_not_sent_to_after_it(
    system, monkeypatch, still_listed, others
):
    """An entry froze, or learned it while the connection was made."""
    one = system.add_target(answer)
    if others:
        system.add_target(answer, zone="z2")
    system.gateway.forwarder.zone_penalty = lambda zone: 9.0 * (zone == "z2")
    system.start()
    connect = _target_connection.TargetConnection.connect

    def connect_late(connection, timeout_s):
        connect(connection, timeout_s)
        if connection.address == one.address:
            if not still_listed:
                remaining = dict(system.view.targets)
                remaining.pop(one.name)
                system.view.set_targets(remaining)
            system.report_evacuations(1 << 40, "z1")
            deploy.wait_until(lambda: system.view.evacuated_zones)

    monkeypatch.setattr(
        _target_connection.TargetConnection, "connect", connect_late
    )
    status, headers, _, _ = system.ask("/once/x")
    assert system.view.evacuated_zones == {"z1"}
    assert not one.seen
    # It has not failed, and serves as soon as the zone returns.
    if still_listed:
        state = system.gateway.target_table.states[one.name]
        assert state.consecutive_failures == 0
    if others:
        assert status == 200
    else:
        assert status == 503
        assert "Retry-After" in headers
        if still_listed:
            assert headers["Zinniadyke-Code"] == ZONES_EVACUATED


def test_entry_is_not_ready_before_it_knows_the_evacuations(system):
    """Another entry's knowledge, which an agent passes on, is enough."""
    system.kinds_down.add("evacuations")
    one = system.add_target(answer)
    system.gateway.start()
    assert deploy.wait_until(
        lambda: system.view.configuration and system.view.targets
    )
    assert not system.gateway.ready
    assert system.codes("/once/x", count=1) == {(503, "3007")}
    system.report_evacuations(7, "z1")
    assert deploy.wait_until(lambda: system.gateway.ready)
    assert system.codes("/once/x", count=1) == {(503, ZONES_EVACUATED)}
    assert not one.seen
    # The removal is learned the same way, and nothing older undoes it.
    system.report_evacuations(8)
    assert deploy.wait_until(lambda: not system.view.evacuated_zones)
    system.report_evacuations(7, "z1")
    eventlet.sleep(0.05)
    assert system.codes("/once/x") == {(200, None)}


def test_entry_without_the_bound_is_ready_and_does_not_watch_evacuations():
    system = System(evacuate_ms=0.0)
    try:
        one = system.add_target(answer)
        system.store.put("evacuations", "z1", {})
        system.start()
        system.report_evacuations(7, "z1")
        eventlet.sleep(0.05)
        assert system.codes("/once/x") == {(200, None)}
        assert len(one.seen) == 10
        assert "evacuations" not in system.kinds_read
        assert "config" in system.kinds_read
    finally:
        system.stop()


@pytest.mark.parametrize("store_answers", [True, False])
def test_entry_that_stood_still_asks_before_it_sends(system, store_answers):
    """No message of the time in which it was frozen has been read yet."""
    one = system.add_target(answer)
    system.watches_lost = 1
    system.start()
    assert deploy.wait_until(lambda: not system.watches_lost)
    guard = system.gateway.standstill_guard
    if store_answers:
        system.store.put("evacuations", "z1", {})
    else:
        system.kinds_down.add("evacuations")
        eventlet.spawn_after(0.2, system.report_evacuations, 1 << 40, "z1")
    guard.checked_at -= STOOD_STILL_S
    assert system.codes("/once/x", count=1) == {(503, ZONES_EVACUATED)}
    assert not one.seen


def test_entry_that_stood_still_alone_uses_what_it_knew(system):
    """Without the store and agents, requests wait only for a short time."""
    system.add_target(answer)
    system.start()
    system.kinds_down.add("evacuations")
    system.gateway.standstill_guard.checked_at -= STOOD_STILL_S
    started = time.monotonic()
    assert system.codes("/once/x", count=1) == {(200, None)}
    assert time.monotonic() - started < 1.0
    assert system.codes("/once/x", count=1) == {(200, None)}


def test_lost_answer_of_a_watch_does_not_delay_an_evacuation():
    """The time until it is noticed may not use up the stated bound."""
    system = System(stable_window_ms=60000.0)
    try:
        system.add_target(answer)
        system.watches_lost = 1
        system.start()
        assert deploy.wait_until(lambda: not system.watches_lost)
        system.store.put("evacuations", "z1", {})
        started = time.monotonic()
        assert deploy.wait_until(lambda: system.view.evacuated_zones)
        assert time.monotonic() - started < EVACUATE_MS / 1000
    finally:
        system.stop()


def test_entry_that_the_store_turns_away_learns_evacuations_from_agents():
    fleet = fleets.Fleet(
        network=NETWORK, entries=2, models=2, evacuate_ms=EVACUATE_MS
    )
    try:
        assert fleet.wait_ready()
        cut_off, other = fleet.gateways
        cut_off.store._call = turn_away
        assert deploy.wait_until(
            lambda: all(f.in_outage for f in cut_off.followers)
        )
        fleet.store.put("evacuations", "z1", {})
        assert deploy.wait_until(lambda: other.view.evacuated_zones)
        assert deploy.wait_until(
            lambda: cut_off.view.evacuated_zones == {"z1"}, PEERS_LEARN_S
        )
        assert fleet.ask(0, "q1", parts="a:1,b:1")[1] == ZONES_EVACUATED
        fleet.store.remove("evacuations", "z1")
        assert deploy.wait_until(lambda: not other.view.evacuated_zones)
        assert deploy.wait_until(
            lambda: not cut_off.view.evacuated_zones, PEERS_LEARN_S
        )
        assert fleet.ask(0, "q2", parts="a:1,b:1")[0] == 200
    finally:
        fleet.stop()
