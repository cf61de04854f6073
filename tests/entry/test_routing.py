"""Routing by version, lost connections, and outlier ejection."""

import collections
import json

import pytest

from tests.agent import test_agent
from zinniadyke.entry import _target_link
from zinniadyke import errors


@pytest.fixture
def system():
    cluster_system = test_agent.System()
    yield cluster_system
    cluster_system.cluster.stop()


def count_versions(system, count: int) -> collections.Counter:
    """Send requests; return how many each version served."""
    counts: collections.Counter = collections.Counter()
    for _ in range(count):
        answer = system.pool.request(
            "POST",
            system.cluster.entries[0].url + "/v1/completions",
            body=json.dumps({"model": "drafting", "prompt": "x"}),
            headers={"Authorization": f"Bearer {system.token}"},
        )
        assert answer.status == 200, answer.data
        counts[answer.headers["Zinniadyke-Version"]] += 1
    return counts


def test_requests_split_by_version_percentages(system):
    cluster = system.cluster
    release = cluster.release("2", 8192, 1024)
    text = release.declaration + cluster.rollout_declaration(
        "2", 2, replicas=1
    )
    system.apply(text)
    assert system.wait(lambda: len(cluster.serving("2")) == 1)
    entry = cluster.entries[0]
    assert system.wait(lambda: cluster.reaches_all_targets(entry))
    for percentages, expected in (
        ("{1: 100}", {"drafting/1"}),
        ("{2: 100, 1: 0}", {"drafting/2"}),
        ("{1: 50, 2: 50}", {"drafting/1", "drafting/2"}),
    ):
        route = (
            "route drafting of intake"
            f" {{ model = drafting versions = {percentages} }}"
        )
        revision = entry.node.store.revision
        system.apply(route)
        assert system.wait(lambda r=revision: entry.node.store.revision > r)
        assert set(count_versions(system, 40)) == expected


def test_closed_connection_is_reopened(system):
    entry = system.cluster.entries[0]
    for agent in system.cluster.agents.values():
        peer = agent.node.me.peer
        entry.node.disconnect(entry.node.connections[peer])
    assert not system.cluster.reaches_all_targets(entry)
    # Sent while the links are being replaced.
    assert [system.request_error() for _ in range(20)] == [""] * 20
    assert system.wait(lambda: system.cluster.reaches_all_targets(entry))


def test_request_waits_for_replaced_connection(system):
    pool = system.cluster.entries[0].requests.pools["drafting"]
    for link in pool.links.values():
        link.task.kill()
        link.missed_heartbeats = _target_link.MAX_MISSED_HEARTBEATS
    assert "NO_TARGET" in system.request_error()
    for link in pool.links.values():
        link.connection.close()
    assert system.request_error() == ""


def test_failing_target_is_ejected_without_failing_callers(system):
    fake = system.cluster.engines["drafting-1"]

    def fail(*args):
        raise ConnectionResetError("fault")

    fake._complete = fail
    assert [system.request_error() for _ in range(30)] == [""] * 30
    pool = system.cluster.entries[0].requests.pools["drafting"]
    assert pool.links["drafting-1"].ejected_until_s > 0
    assert pool.links["drafting-2"].ejected_until_s == 0


def test_consecutive_failures_eject_and_success_resets():
    link = object.__new__(_target_link.TargetLink)
    link.consecutive_failures, link.ejected_until_s = 0, 0.0
    for _ in range(_target_link.EJECTION_FAILURES - 1):
        link.record_result(10.0, True)
    link.record_result(10.0, False)
    for _ in range(_target_link.EJECTION_FAILURES - 1):
        link.record_result(10.0, True)
    assert link.ejected_until_s == 0
    link.record_result(10.0, True)
    assert link.ejected_until_s == 10.0 + _target_link.EJECTION_S


def test_3xxx_codes_prove_request_did_not_run():
    for code in errors.ResultCode:
        if code.number // 1000 == 3:
            assert code.ran is errors.Ran.NOT_RUN, code
