"""Requests with a prompt part that crashes each target they run on."""

import eventlet
import pytest

from tests.gateway import deployment as deploy
from tests.gateway import fleet as fleets
from zinniadyke import reports

CRASHING = "bad001"
SHARED = "5a5a01"
ENTRIES = 3
# Result code of a prompt that is refused for one of its parts.
REFUSED = "3008"
# Requests with the part from which the entries have to learn it.
MAX_CRASHING = 30
NETWORK = "127.9.1"


def test_withdrawn_requests_are_not_repeated_and_eject_no_target():
    """Both targets hold a request whose prompt is refused meanwhile."""

    def wait(exchange):
        exchange.wait_closed(5.0)

    with deploy.deployment(wait, wait) as system:
        guard = system.gateway.crash_guard
        statuses = []

        def ask(number):
            statuses.append(
                system.ask(
                    "/stream/x",
                    X_Zinniadyke_Request_Id=f"r{number}",
                    X_Zinniadyke_Model=fleets.MODEL,
                    X_Zinniadyke_Prefix_Hash=f"{CRASHING}:1,own{number}:1",
                )[0]
            )

        for number in range(4):
            eventlet.spawn_n(ask, number)
        assert deploy.wait_until(lambda: len(guard.running) == 4)
        guard.handle_news(
            reports.SuspectNews(
                name="n",
                refused={f"{fleets.MODEL}/{CRASHING}": 5000},
                cleared=[],
            ),
            "127.0.0.1",
        )
        assert deploy.wait_until(lambda: len(statuses) == 4)
        ask(5)
        assert statuses == [502] * 4 + [503]
        states = system.gateway.target_table.states.values()
        assert sum(len(t.seen) for t in system.targets) == 4
        assert not any(s.ejected for s in states)


def is_crashing(exchange):
    return CRASHING in exchange.headers.get("x-zinniadyke-prefix-hash", "")


def crashing_arrivals(fleet):
    return sum(is_crashing(e) for t in fleet.targets for _, e in t.arrivals)


@pytest.fixture
def fleet():
    made = fleets.Fleet(network=NETWORK, entries=ENTRIES)
    for target in made.targets:
        target.crashes_on = is_crashing
    try:
        assert made.wait_ready()
        yield made
    finally:
        made.stop()


def test_prompt_part_that_crashes_targets_is_refused_by_all_entries(fleet):
    answers = {}

    def ask(kind, number, parts):
        answers[kind, number] = fleet.ask(
            number % ENTRIES, f"{kind}{number}", parts
        )

    def ask_crashing(number):
        ask("d", number, f"{SHARED}:40,{CRASHING}:30,d{number:05x}:100")

    def ask_sound(number):
        ask("s", number, f"{SHARED}:40,{number:06x}:100")

    def refused(numbers):
        return all(
            answers.get(("d", n), ())[:2] == (503, REFUSED) for n in numbers
        )

    learnt_from = 0
    for number in range(MAX_CRASHING):
        if number >= ENTRIES and refused(range(number - ENTRIES, number)):
            learnt_from = number
            break
        eventlet.spawn_n(ask_crashing, number)
        for copy in range(3):
            eventlet.spawn_n(ask_sound, 3 * number + copy)
        eventlet.sleep(0.3)
    assert learnt_from
    assert deploy.wait_until(lambda: len(answers) == 4 * learnt_from, 20.0)
    assert fleet.wait_all_serve()
    arrivals, crashes = crashing_arrivals(fleet), len(fleet.crashes)
    later = range(learnt_from, learnt_from + 3 * ENTRIES)
    for number in later:
        ask_crashing(number)
        ask_sound(1000 + number)
    assert refused(later)
    assert all(
        answers["s", 1000 + number] == (200, "", True) for number in later
    )
    assert crashing_arrivals(fleet) == arrivals
    assert len(fleet.crashes) == crashes
