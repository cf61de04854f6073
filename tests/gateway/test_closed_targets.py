"""Targets that leave, or that want no requests for a while."""

import threading
import time

import eventlet
import pytest

from tests.gateway import deployment as deploy
from zinniadyke import platform
from zinniadyke import reports


def answer(exchange):
    exchange.answer(200, b"done", Content_Type="text/plain")


def leave(exchange):
    exchange.answer(200, b"last", Server_Leaving="1")


def refuse(seconds):
    def script(exchange):
        exchange.answer(
            503, b"", X_Zinniadyke_Not_Executed="1", Retry_After=seconds
        )

    return script


def ask_many(system, path, count):
    """Return the statuses of sequential requests."""
    return [
        system.ask(path, X_Zinniadyke_Request_Id=f"q{n}")[0]
        for n in range(count)
    ]


def test_target_that_says_it_is_leaving_gets_no_further_request():
    """Its registration says ready all the while."""
    with deploy.deployment(leave) as system:
        assert system.ask("/open/x")[0] == 200
        statuses = ask_many(system, "/open/x", 50)
        assert set(statuses) == {503}
        assert len(system.targets[0].seen) == 1


def test_leaving_target_is_replaced_by_others_and_by_its_next_start():
    with deploy.deployment(leave) as system:
        assert system.ask("/open/x")[0] == 200
        system.add_target(answer)
        assert deploy.wait_until(
            lambda: "t2" in (system.gateway.view.targets or {})
        )
        assert set(ask_many(system, "/open/x", 20)) == {200}
        assert len(system.targets[0].seen) == 1
        # An older list, as after a cut or a restored store, changes nothing.
        system.store.put("servers", "t1", {**system.targets[0].spec, "seq": 2})
        eventlet.sleep(0.5)
        assert set(ask_many(system, "/open/x", 20)) == {200}
        assert len(system.targets[0].seen) == 1
        system.store.remove("servers", "t2")
        system.store.put(
            "servers", "t1", {**system.targets[0].spec, "born": 5}
        )
        assert deploy.wait_until(
            lambda: system.gateway.view.targets["t1"].born_ms == 5
        )
        assert system.ask("/open/x")[0] == 200
        assert len(system.targets[0].seen) == 2


def test_stream_of_a_leaving_target_runs_to_its_end():
    def stream(exchange):
        exchange.head(
            200,
            "Transfer-Encoding: chunked",
            Content_Type="text/event-stream",
            Server_Leaving="1",
        )
        for number in range(1, 6):
            exchange.chunk(b"id: %d\n\n" % number)
            eventlet.sleep(0.05)
        exchange.chunk(b"")

    with deploy.deployment(stream) as system:
        status, _, body, complete = system.ask("/stream/x")
        assert (status, complete) == (200, True)
        assert body.count(b"id:") == 5
        assert system.ask("/stream/x")[0] == 503
        assert len(system.targets[0].seen) == 1


@pytest.mark.parametrize("status", [500, 503, 421])
def test_refusals_and_failures_say_it_too(status):
    def script(exchange):
        exchange.answer(
            status, b"", Server_Leaving="1", X_Zinniadyke_Not_Executed="1"
        )

    with deploy.deployment(script) as system:
        # The target that answers 421 is the other one at the address.
        first = system.targets[0]
        system.store.put("servers", "t9", {**first.spec, "seq": 1})
        assert deploy.wait_until(
            lambda: "t9" in (system.gateway.view.targets or {})
        )
        ask_many(system, "/open/x", 10)
        leaving = {
            name
            for name, target in system.gateway.view.targets.items()
            if target.leaving
        }
        assert leaving
        assert len(first.seen) <= 3


@pytest.mark.parametrize("stated", ["0", "yes", "2"])
def test_other_values_of_the_leaving_header_mean_nothing(stated):
    def script(exchange):
        exchange.answer(200, b"", Server_Leaving=stated)

    with deploy.deployment(script) as system:
        assert set(ask_many(system, "/open/x", 3)) == {200}


def test_agent_reports_that_its_target_is_leaving():
    with deploy.deployment(answer) as system:
        target = system.targets[0]
        system.gateway.load_listener._apply_report(
            reports.LoadReport(
                address=target.address,
                born_ms=0,
                running=0,
                waiting=0,
                entries=1,
                switching=False,
                switch_in_ms=None,
                weights={},
                named={},
                leaving=True,
            )
        )
        assert system.ask("/open/x")[0] == 503
        assert not target.seen


def test_target_that_names_a_time_gets_nothing_until_it_is_over():
    scripts = [refuse("0.8"), answer]
    with deploy.deployment(lambda e: scripts.pop(0)(e)) as system:
        started = time.monotonic()
        status, headers, _, _ = system.ask("/open/x")
        assert status == 503
        while time.monotonic() < started + 0.6:
            status, headers, _, _ = system.ask("/open/x")
            assert status == 503
            # A caller that returns then finds the target open.
            reopens_at = started + 0.8
            assert (
                time.monotonic() + float(headers["Retry-After"]) >= reopens_at
            )
            eventlet.sleep(0.05)
        assert len(system.targets[0].seen) == 1
        eventlet.sleep(max(0.0, started + 1.1 - time.monotonic()))
        assert system.ask("/open/x")[0] == 200


def test_many_calls_in_flight_at_the_refusal_send_nothing_later():
    """Retries of calls in flight stay away from the closed target too."""
    refused = threading.Event()

    def script(exchange):
        eventlet.sleep(0.2)
        refused.set()
        refuse("3")(exchange)

    with deploy.deployment(script) as system:
        pool = eventlet.GreenPool(60)
        statuses = list(
            pool.imap(
                lambda n: system.ask(
                    "/again/x", X_Zinniadyke_Request_Id=f"q{n}"
                )[0],
                range(60),
            )
        )
        assert refused.is_set()
        assert set(statuses) <= {503}
        arrived = len(system.targets[0].seen)
        assert set(ask_many(system, "/again/x", 20)) == {503}
        assert len(system.targets[0].seen) == arrived


def test_other_targets_serve_while_one_is_closed():
    with deploy.deployment(refuse("5"), answer) as system:
        statuses = ask_many(system, "/again/x", 30)
        assert set(statuses) == {200}
        assert len(system.targets[0].seen) <= 1


def test_target_that_is_listed_again_is_still_closed():
    with deploy.deployment(refuse("30")) as system:
        assert system.ask("/open/x")[0] == 503
        spec = system.targets[0].spec
        system.store.remove("servers", "t1")
        assert deploy.wait_until(lambda: not system.gateway.view.targets)
        system.store.put("servers", "t1", spec)
        assert deploy.wait_until(lambda: bool(system.gateway.view.targets))
        assert system.ask("/open/x")[0] == 503
        assert len(system.targets[0].seen) == 1


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("", None),
        ("1", 1.0),
        (" 0.25 ", 0.25),
        ("-3", None),
        ("nan", None),
        ("inf", None),
        ("soon", None),
        ("Fri, 04 Dec 2026 10:00:00 GMT", None),
        ("86400", 300.0),
        ("9" * 400, None),
        ("\u0661", None),
    ],
)
def test_retry_after_is_read_and_bounded(text, seconds):
    assert platform.parse_retry_after(text, "a:1") == seconds
