"""Routes by version, lost connections, and ejection of failing targets."""

import collections
import json

import pytest

from tests.agent import test_agent
from zinniadyke.entry import _target_link
from zinniadyke import errors


@pytest.fixture
def system():
    made = test_agent.System()
    yield made
    made.cluster.stop()


def versions(system, count: int) -> collections.Counter:
    """Send requests; return how many each version answered."""
    found: collections.Counter = collections.Counter()
    for _ in range(count):
        answer = system.pool.request(
            "POST",
            system.cluster.entries[0].url + "/v1/completions",
            body=json.dumps({"model": "drafting", "prompt": "x"}),
            headers={"Authorization": f"Bearer {system.token}"},
        )
        assert answer.status == 200, answer.data
        found[answer.headers["Zinniadyke-Version"]] += 1
    return found


def test_parts_of_the_requests_go_to_the_versions_named(system):
    cluster = system.cluster
    release = cluster.release("2", 8192, 1024)
    text = release.declaration + cluster.rollout("2", 2, replicas=1)
    system.apply(text)
    assert system.wait(lambda: len(cluster.serving("2")) == 1)
    entry = cluster.entries[0]
    assert system.wait(lambda: cluster.sees_all(entry))
    for parts, wanted in (
        ("{1: 100}", {"drafting/1"}),
        ("{2: 100, 1: 0}", {"drafting/2"}),
        ("{1: 50, 2: 50}", {"drafting/1", "drafting/2"}),
    ):
        route = (
            "route drafting of intake"
            f" {{ model = drafting versions = {parts} }}"
        )
        revision = entry.node.store.revision
        system.apply(route)
        assert system.wait(lambda r=revision: entry.node.store.revision > r)
        assert set(versions(system, 40)) == wanted


def test_a_closed_connection_is_opened_again(system):
    entry = system.cluster.entries[0]
    for agent in system.cluster.agents.values():
        peer = agent.node.me.peer
        entry.node.disconnect(entry.node.connections[peer])
    assert not system.cluster.sees_all(entry)
    # Asked while the links are being replaced.
    assert [system.request_error() for _ in range(20)] == [""] * 20
    assert system.wait(lambda: system.cluster.sees_all(entry))


def test_a_request_waits_for_a_target_that_is_not_heard_yet(system):
    pool = system.cluster.entries[0].requests.pools["drafting"]
    for link in pool.links.values():
        link.task.kill()
        link.missed_heartbeats = _target_link.MAX_MISSED_HEARTBEATS
    assert "NO_TARGET" in system.request_error()
    for link in pool.links.values():
        link.connection.close()
    assert system.request_error() == ""


def test_a_failing_target_is_ejected_and_callers_do_not_notice(system):
    fake = system.cluster.engines["drafting-1"]

    def fail(*args):
        raise ConnectionResetError("fault")

    fake._complete = fail
    assert [system.request_error() for _ in range(30)] == [""] * 30
    pool = system.cluster.entries[0].requests.pools["drafting"]
    assert pool.links["drafting-1"].ejected_until_s > 0
    assert pool.links["drafting-2"].ejected_until_s == 0


def test_failures_in_a_row_eject_and_a_success_forgives():
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


def test_codes_that_prove_not_run_are_just_those():
    for code in errors.ResultCode:
        if code.number // 1000 == 3:
            assert code.ran is errors.Ran.NOT_RUN, code
