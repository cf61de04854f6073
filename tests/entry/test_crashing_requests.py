"""Requests that crash each plain service that runs them."""

import eventlet
import pytest
import urllib3

from tests.gateway import deployment as deploy
from zinniadyke import demo
from zinniadyke import objects
from zinniadyke import requests

CRASHING = b"the crashing request"
ENTRIES = 2
SERVICE = demo.ServiceSpec(name="desk", targets=3)
# Result code of a request that is refused as equal ones crash targets.
REFUSED = "3009"
# Requests from which the entries have to learn it.
MAX_CRASHING = 20
DEPLOYMENT = demo.Deployment(
    name="cell",
    region="egypt",
    zones=["cairo", "alexandria"],
    model="drafting",
    model_service=demo.ServiceSpec(name="drafting", targets=1),
    plain_services=[SERVICE],
    classes=["clerk"],
    entries=ENTRIES,
    checks_fencing=True,
    favour=objects.Favour.ORIGIN,
    floor=1,
)
DECLARATION = """
service desk { kind = plain idempotent = ["GET /find"] timeout = 10s }
workspace intake { tokens = ["%s"] }
route desk of intake { service = desk }
"""
TOKEN = demo.demo_token("intake")


class Fleet:
    """Entries, and plain services that crash on a request."""

    def __init__(self):
        self.cluster = demo.Cluster(deployment=DEPLOYMENT, seed=3)
        self.pool = urllib3.PoolManager(maxsize=64, retries=False)

    def start(self):
        cluster = self.cluster
        cluster.start()
        cluster.operator_client().send(
            "apply", DECLARATION % requests.hash_token(TOKEN)
        )
        for service in cluster.services.values():
            service.faults.crash_on = CRASHING.decode()
            service.faults.latency_s = 0.05
        assert deploy.wait_until(self.all_serve, 30.0)

    def all_serve(self):
        """Whether every entry knows all targets to serve."""
        pools = [e.requests.pools.get("desk") for e in self.cluster.entries]
        return all(self.ask(n, b"ready")[0] == 200 for n in range(4)) and all(
            pool is not None
            and len(pool.links) == SERVICE.targets
            and all(link.accepts_work for link in pool.links.values())
            for pool in pools
        )

    @property
    def crashes(self):
        return sum(s.crashes for s in self.cluster.services.values())

    def ask(self, number, body):
        """Return the status and the result code."""
        entry = self.cluster.entries[number % ENTRIES]
        try:
            answer = self.pool.request(
                "GET",
                entry.url + "/services/desk/find",
                body=body,
                headers={"Authorization": f"Bearer {TOKEN}"},
                timeout=12.0,
            )
        except urllib3.exceptions.HTTPError:
            return 0, ""
        return answer.status, answer.headers.get("Zinniadyke-Code", "")


@pytest.fixture
def fleet():
    made = Fleet()
    try:
        made.start()
        yield made
    finally:
        made.cluster.stop()


def test_request_that_crashes_plain_services_is_refused_by_all_entries(fleet):
    answers = []

    def ask(number):
        answers.append(fleet.ask(number, CRASHING))

    pool = eventlet.GreenPool()
    for number in range(MAX_CRASHING):
        pool.spawn_n(ask, number)
        for copy in range(3):
            pool.spawn_n(fleet.ask, number, b"sound %d %d" % (number, copy))
        eventlet.sleep(0.3)
    pool.waitall()
    assert deploy.wait_until(fleet.all_serve, 20.0)
    crashes = fleet.crashes
    for number in range(2 * ENTRIES):
        assert fleet.ask(number, CRASHING) == (503, REFUSED)
        assert fleet.ask(number, b"sound")[0] == 200
    assert fleet.crashes == crashes
