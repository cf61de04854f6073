"""Tests of agents with engines: restarts, lost weights, draining, staging."""

import json

import eventlet
import msgspec
import pytest
import urllib3

from zinniadyke import demo
from zinniadyke import fakes
from zinniadyke import objects
from zinniadyke import peers
from zinniadyke import platform
from zinniadyke import requests

TIMEOUT_S = 30.0
DEPLOYMENT = demo.Deployment(
    name="agent",
    region="egypt",
    zones=["cairo", "asyut"],
    model="drafting",
    model_service=demo.ServiceSpec(name="drafting", targets=2),
    plain_services=[],
    classes=["clerk"],
    checks_fencing=False,
    favour=objects.Favour.ORIGIN,
    floor=1,
    entries=1,
)
FLEET = """
service drafting { kind = model }
model drafting { service = drafting }
workspace intake { tokens = ["%s"] }
route drafting of intake { model = drafting }
"""


class System:
    """Cluster of two targets that serve version 1, with an HTTP client."""

    def __init__(self) -> None:
        self.cluster = demo.Cluster(deployment=DEPLOYMENT, seed=5)
        self.pool = urllib3.PoolManager(retries=False)
        self.token = demo.demo_token("intake")
        self.cluster.start()
        release = self.cluster.release("1", 8192, 1024)
        text = FLEET % requests.hash_token(self.token)
        self.apply(
            text
            + release.declaration
            + self.cluster.rollout_declaration("1", 1)
        )
        entry = self.cluster.entries[0]
        assert self.wait(lambda: self.cluster.reaches_all_targets(entry))

    def apply(self, text: str) -> None:
        self.cluster.operator_client().send("apply", text)

    def wait(self, condition) -> bool:
        with eventlet.Timeout(TIMEOUT_S, False):
            while not condition():
                eventlet.sleep(0.01)
            return True
        return False

    def request_error(self) -> str:
        """Send a request; return the error in its answer, empty if none."""
        answer = self.pool.request(
            "POST",
            self.cluster.entries[0].url + "/v1/completions",
            body=json.dumps({"model": "drafting", "prompt": "x"}),
            headers={"Authorization": f"Bearer {self.token}"},
            timeout=TIMEOUT_S,
        )
        if answer.status != 200:
            return f"{answer.status}: {answer.data!r}"
        content = self.cluster.releases["1"].content
        words = fakes.expected_words(content, "x")
        return demo.check_completion(answer.data, False, words)


@pytest.fixture
def system():
    made = System()
    yield made
    made.cluster.stop()


def test_a_restarted_agent_serves_without_a_reload(system):
    cluster = system.cluster
    before = dict(cluster.origin.bytes_sent)
    for number, name in enumerate(["drafting-1", "drafting-2"]):
        cluster.agents[name].stop()
        engine = cluster.engines[name]
        cluster.make_agent(name, "drafting", number, engine.url).start()
        cluster.publish_hosts()
        assert system.wait(lambda: len(cluster.serving("1")) == 2)
    assert [e.loads for e in cluster.engines.values()] == [["drafting/1"]] * 2
    assert system.request_error() == ""
    size = cluster.releases["1"].size
    read = cluster.origin.bytes_sent["drafting-1"]
    assert read - before["drafting-1"] <= size


def test_an_engine_that_lost_its_weights_gets_them_again(system):
    engine = system.cluster.engines["drafting-2"]
    engine.loaded, engine.digest = "", ""
    assert system.wait(lambda: len(system.cluster.serving("1")) == 1)
    assert system.request_error() == ""
    assert system.wait(lambda: len(system.cluster.serving("1")) == 2)
    assert engine.loads == ["drafting/1", "drafting/1"]


def test_no_caller_gets_answers_from_a_former_agents_load(system):
    cluster = system.cluster
    for engine in cluster.engines.values():
        system.pool.request(
            "PUT",
            engine.url + "/v1/weights/drafting/9",
            body=b"other weights",
            headers={"Fencing-Number": "1"},
        )
    tasks = [eventlet.spawn(system.request_error) for _ in range(10)]
    assert all("wrong" not in task.wait() for task in tasks)
    assert system.wait(lambda: len(cluster.serving("1")) == 2)
    assert system.request_error() == ""


@pytest.mark.parametrize("way", ["listed as leaving", "drained"])
def test_a_leaving_target_finishes_its_requests_and_admits_no_more(
    system, way
):
    cluster = system.cluster
    agent = cluster.agents["drafting-1"]
    engine = cluster.engines["drafting-1"]
    engine.seconds_per_word = 0.2
    running = [eventlet.spawn(system.request_error) for _ in range(6)]
    assert system.wait(lambda: engine.running > 0)
    if way == "drained":
        system.apply("drain target drafting-1")
    else:
        leaving = platform.HostState.LEAVING
        cluster.platform.set_hosts(
            [
                msgspec.structs.replace(h, state=leaving)
                if h.name == "drafting-1"
                else h
                for h in cluster.platform.hosts()
            ]
        )
    draining = peers.GateState.DRAINING
    assert system.wait(lambda: agent.status().gate is draining)
    runs = len(engine.runs)
    assert [task.wait() for task in running] == [""] * 6
    assert [system.request_error() for _ in range(6)] == [""] * 6
    assert len(engine.runs) == runs


def test_a_drained_target_serves_again_when_restored(system):
    agent = system.cluster.agents["drafting-1"]
    system.apply("drain target drafting-1")
    assert system.wait(lambda: agent.gate.refusing)
    system.apply("restore target drafting-1")
    serving = peers.GateState.SERVING
    assert system.wait(lambda: agent.status().gate is serving)


def test_idle_weights_are_freed_except_at_seeds(system, monkeypatch):
    monkeypatch.setattr("zinniadyke.agent._stager.IDLE_RETENTION_S", 0.1)
    stagers = [a.stager for a in system.cluster.agents.values()]
    seeds = {host.name for host in _seeds(system.cluster)}
    for stager in stagers:
        name = stager.node.me.name
        if name not in seeds:
            assert system.wait(lambda s=stager: not s.stages)
        else:
            assert stager.stages


def _seeds(cluster):
    stager = cluster.agents["drafting-1"].stager
    placement = stager._placement("drafting/1")
    return [zone[0] for zone in placement.zones]


def test_a_rollout_with_fewer_replicas_is_staged_on_no_other_host(system):
    cluster = system.cluster
    release = cluster.release("2", 8192, 1024)
    text = release.declaration + cluster.rollout_declaration(
        "2", 2, replicas=1
    )
    system.apply(text)
    assert system.wait(lambda: len(cluster.serving("2")) == 1)
    chosen = cluster.serving("2")[0]
    other = next(n for n in cluster.agents if n != chosen)
    assert cluster.serving("1") == [other]
    assert "drafting/2" not in cluster.agents[other].stager.stages
    cluster.agents[chosen].stop()
    cluster.engines[chosen].stop()
    del cluster.agents[chosen], cluster.engines[chosen]
    cluster.publish_hosts()
    assert system.wait(lambda: cluster.serving("2") == [other])


def test_chunks_of_a_cancelled_rollout_are_kept_then_freed(
    system, monkeypatch
):
    cluster = system.cluster
    stager = cluster.agents["drafting-1"].stager
    cluster.origin.faults.latency_s = 0.2
    system.apply(
        cluster.release("2", 1 << 20, 1 << 14).declaration
        + cluster.rollout_declaration("2", 2)
    )
    name = "drafting/2"
    assert system.wait(lambda: name in stager.stages)
    assert system.wait(lambda: stager.stages[name].size > 0)
    system.apply("cancel rollout r2")
    assert system.wait(lambda: name in stager.suspended_stages.stages)
    size = stager.suspended_stages.stages[name].size
    assert size > 0
    eventlet.sleep(0.5)
    assert stager.suspended_stages.stages[name].size == size
    monkeypatch.setattr("zinniadyke.agent._stager.SUSPENDED_RETENTION_S", 0.1)
    assert system.wait(lambda: not stager.suspended_stages.stages)


def test_suspended_stages_are_freed_for_another_version(system):
    cluster = system.cluster
    stager = cluster.agents["drafting-1"].stager
    cluster.origin.faults.latency_s = 0.2
    for number in ("2", "3"):
        system.apply(
            cluster.release(number, 1 << 18, 1 << 14).declaration
            + cluster.rollout_declaration(number, int(number))
        )
        name = f"drafting/{number}"
        assert system.wait(lambda n=name: n in stager.stages)
        assert not stager.suspended_stages.stages


def test_a_rollback_serves_the_previous_version(system):
    cluster = system.cluster
    release = cluster.release("2", 8192, 1024)
    system.apply(release.declaration + cluster.rollout_declaration("2", 2))
    assert system.wait(lambda: len(cluster.serving("2")) == 2)
    system.apply("rollback rollout r2")
    assert system.wait(lambda: len(cluster.serving("1")) == 2)
    assert system.request_error() == ""


def test_an_agent_that_shuts_down_waits_for_its_requests(system):
    cluster = system.cluster
    engine = cluster.engines["drafting-1"]
    engine.seconds_per_word = 0.1
    running = [eventlet.spawn(system.request_error) for _ in range(6)]
    assert system.wait(lambda: engine.running > 0)
    engines = list(cluster.engines.values())
    agent = cluster.agents.pop("drafting-1")
    assert agent.shut_down()
    assert [task.wait() for task in running] == [""] * 6
    # No request was interrupted and run again at the other target.
    assert sum(sum(e.runs.values()) for e in engines) == 6
