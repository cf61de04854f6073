"""Requests with a message that crashes each engine that answers it."""

import eventlet
import msgspec
import pytest
import urllib3

from tests.gateway import deployment as deploy
from zinniadyke import demo
from zinniadyke import objects
from zinniadyke import requests

CRASHING = "the crashing message"
SHARED = {"role": "system", "content": "the clinic's instructions"}
KIB = 1024
# Result code of a prompt that is refused for one of its parts.
REFUSED = "3008"
# Requests with the message from which the entries have to learn it.
MAX_CRASHING = 30
DEPLOYMENT = demo.Deployment(
    name="cell",
    region="egypt",
    zones=["cairo", "alexandria"],
    model="drafting",
    model_service=demo.ServiceSpec(name="drafting", targets=4),
    plain_services=[],
    classes=["clerk"],
    entries=2,
    checks_fencing=True,
    favour=objects.Favour.ORIGIN,
    floor=1,
)
DECLARATION = """
service drafting { kind = model slots = 16 timeout = 10s }
model drafting { service = drafting }
workspace intake { tokens = ["%s"] }
route drafting of intake { model = drafting }
"""
TOKEN = demo.demo_token("intake")


class Fleet:
    """Entries, and engines that crash on a message."""

    def __init__(self):
        self.cluster = demo.Cluster(deployment=DEPLOYMENT, seed=3)
        self.pool = urllib3.PoolManager(maxsize=64, retries=False)
        # Status, wholeness and result code of each request.
        self.answers = {}

    def start(self):
        cluster = self.cluster
        cluster.start()
        release = cluster.release("1", 4 * KIB, KIB)
        cluster.operator_client().send(
            "apply",
            DECLARATION % requests.hash_token(TOKEN)
            + release.declaration
            + cluster.rollout_declaration("1", 1),
        )
        assert deploy.wait_until(
            lambda: all(
                e.loaded == "drafting/1" for e in cluster.engines.values()
            ),
            30.0,
        )
        assert deploy.wait_until(self.all_serve, 30.0)
        for engine in cluster.engines.values():
            engine.seconds_per_word = 0.06
            engine.faults.crash_on = CRASHING

    def all_serve(self):
        """Whether every entry knows all engines to serve."""
        pools = [e.requests.pools["drafting"] for e in self.cluster.entries]
        return all(
            len(pool.links) == 4
            and all(link.accepts_work for link in pool.links.values())
            for pool in pools
        )

    @property
    def crashes(self):
        return sum(e.crashes for e in self.cluster.engines.values())

    def ask(self, kind, number, *messages):
        entry = self.cluster.entries[number % len(self.cluster.entries)]
        body = {
            "model": "drafting",
            "stream": True,
            "messages": [
                SHARED,
                *({"role": "user", "content": m} for m in messages),
                {"role": "user", "content": f"{kind} {number}"},
            ],
        }
        try:
            answer = self.pool.request(
                "POST",
                entry.url + "/v1/chat/completions",
                body=msgspec.json.encode(body),
                headers={"Authorization": f"Bearer {TOKEN}"},
                timeout=12.0,
            )
            whole = answer.data.endswith(b"data: [DONE]\n\n")
            code = answer.headers.get("Zinniadyke-Code", "")
            self.answers[kind, number] = answer.status, whole, code
        except urllib3.exceptions.HTTPError:
            self.answers[kind, number] = 0, False, ""


@pytest.fixture
def fleet():
    made = Fleet()
    try:
        made.start()
        yield made
    finally:
        made.cluster.stop()


def test_message_that_crashes_engines_is_refused_by_all_entries(fleet):
    def refused(numbers):
        return all(
            fleet.answers.get(("crashing", n), ())[::2] == (503, REFUSED)
            for n in numbers
        )

    learnt_from = 0
    for number in range(MAX_CRASHING):
        if number >= 2 and refused((number - 2, number - 1)):
            learnt_from = number
            break
        eventlet.spawn_n(fleet.ask, "crashing", number, CRASHING)
        for copy in range(3):
            eventlet.spawn_n(fleet.ask, "sound", 3 * number + copy)
        eventlet.sleep(0.3)
    assert learnt_from
    assert deploy.wait_until(
        lambda: len(fleet.answers) == 4 * learnt_from, 20.0
    )
    assert deploy.wait_until(fleet.all_serve, 20.0)
    crashes = fleet.crashes
    later = range(learnt_from, learnt_from + 6)
    for number in later:
        fleet.ask("crashing", number, CRASHING)
        fleet.ask("sound", 1000 + number)
    assert refused(later)
    assert all(
        fleet.answers["sound", 1000 + n][:2] == (200, True) for n in later
    )
    assert fleet.crashes == crashes
