"""Limits of workspaces at several entries."""

import time

import pytest
import urllib3

from tests.gateway import deployment as deploy
from zinniadyke import demo
from zinniadyke import objects
from zinniadyke import requests

ENTRIES = 4
RATE_PER_S = 0.5
DEPLOYMENT = demo.Deployment(
    name="cell",
    region="egypt",
    zones=["cairo", "alexandria"],
    model="drafting",
    model_service=demo.ServiceSpec(name="drafting", targets=1),
    plain_services=[demo.ServiceSpec(name="desk", targets=2)],
    classes=["clerk"],
    entries=ENTRIES,
    checks_fencing=True,
    favour=objects.Favour.ORIGIN,
    floor=1,
)
DECLARATION = """
service desk { kind = plain idempotent = ["GET /find"] timeout = 10s }
workspace intake { tokens = ["%s"] }
workspace other { tokens = ["%s"] }
limit all of intake { rate = 0.5 }
route desk of intake { service = desk }
route desk of other { service = desk }
"""
TOKENS = {name: demo.demo_token(name) for name in ("intake", "other")}


@pytest.fixture
def cluster():
    made = demo.Cluster(deployment=DEPLOYMENT, seed=3)
    try:
        made.start()
        hashes = tuple(requests.hash_token(t) for t in TOKENS.values())
        made.operator_client().send("apply", DECLARATION % hashes)
        assert deploy.wait_until(
            lambda: all(
                ask(made, n, "other") == 200
                and e.node.live_entries() == ENTRIES
                for n, e in enumerate(made.entries)
            ),
            30.0,
        )
        yield made
    finally:
        made.stop()


def ask(cluster, number, workspace):
    """Return the status of a request at one of the entries."""
    entry = cluster.entries[number % ENTRIES]
    return urllib3.request(
        "GET",
        entry.url + "/services/desk/find",
        headers={"Authorization": f"Bearer {TOKENS[workspace]}"},
        retries=False,
        timeout=12.0,
    ).status


def test_low_rate_of_a_workspace_holds_for_all_entries_together(cluster):
    started = time.monotonic()
    statuses = [ask(cluster, n, "intake") for n in range(5 * ENTRIES)]
    took_s = time.monotonic() - started
    assert set(statuses) == {200, 429}
    # The rate for this time, and for one second of quiet time before.
    assert statuses.count(200) <= 1 + RATE_PER_S * (took_s + 1.0)
