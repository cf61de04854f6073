"""Configuration sync: it reaches every process and survives failures."""

import eventlet
import pytest

from zinniadyke import control
from zinniadyke import fakes
from zinniadyke import language
from zinniadyke import objects
from zinniadyke import peers
from zinniadyke import platform

SYNC_TIMEOUT_S = 15.0


class Fleet:
    """Nodes of one zone that share a fake platform."""

    def __init__(self, count: int) -> None:
        self.fake = fakes.FakePlatform()
        self.nodes = [self.make_node(n) for n in range(count)]
        self.publish_hosts()
        for node in self.nodes:
            node.start()

    def make_node(self, number: int, seeds=()) -> control.Node:
        me = platform.Host(
            name=f"n{number}",
            role=platform.HostRole.ENTRY,
            zone="cairo",
            region="egypt",
            peer="127.0.0.1:0",
        )
        return control.Node(
            me=me, platform_url=self.fake.url, seeds=list(seeds)
        )

    def publish_hosts(self) -> None:
        self.fake.set_hosts([node.me for node in self.nodes])

    def accept(self, text: str, change_id: str) -> int:
        changes = language.to_changes(
            language.parse(text), objects.Configuration()
        )
        client = platform.PlatformClient(url=self.fake.url)
        return control.accept(
            client, changes, author="op", change_id=change_id
        ).revision

    def all_reach(self, revision: int, nodes=None) -> bool:
        with eventlet.Timeout(SYNC_TIMEOUT_S, False):
            for node in nodes or self.nodes:
                while node.store.revision < revision:
                    eventlet.sleep(0.01)
            return True
        return False

    def watchers(self) -> list[control.Node]:
        sync_order = [h.name for h in self.nodes[0].sync.sync_order()]
        first = sync_order[: control._sync.WATCHERS_PER_ZONE]
        return [n for n in self.nodes if n.me.name in first]

    def stop(self) -> None:
        for node in self.nodes:
            node.stop()
        self.fake.stop()


@pytest.fixture
def fleet():
    made = Fleet(14)
    yield made
    made.stop()


def test_only_watchers_call_the_platform(fleet):
    fleet.accept("workspace a { }", "c1")
    assert fleet.all_reach(1)
    eventlet.sleep(2.5)
    before = fleet.fake.reads
    calls = {n.me.name: sum(n.client.calls.values()) for n in fleet.nodes}
    for number in range(5):
        fleet.accept(f"workspace w{number} {{ }}", f"d{number}")
    assert fleet.all_reach(6)
    asked = [
        n.me.name
        for n in fleet.nodes
        if sum(n.client.calls.values()) > calls[n.me.name]
    ]
    watchers = [n.me.name for n in fleet.watchers()]
    assert sorted(asked) == sorted(watchers)
    assert fleet.fake.reads - before < 100


def test_a_stopped_watcher_is_bypassed(fleet):
    fleet.accept("workspace a { }", "c1")
    assert fleet.all_reach(1)
    eventlet.sleep(2.0)
    dead = fleet.watchers()[0]
    dead.stop()
    rest = [n for n in fleet.nodes if n is not dead]
    fleet.nodes = rest
    fleet.accept("workspace b { }", "c2")
    assert fleet.all_reach(2, rest)


def test_both_watchers_stopped_before_the_host_list_changes(fleet):
    fleet.accept("workspace a { }", "c1")
    assert fleet.all_reach(1)
    eventlet.sleep(2.0)
    dead = fleet.watchers()
    for node in dead:
        node.stop()
    fleet.nodes = [n for n in fleet.nodes if n not in dead]
    fleet.accept("workspace b { }", "c2")
    assert fleet.all_reach(2)


def test_a_process_that_starts_in_an_outage_syncs_from_a_seed(fleet):
    fleet.accept("workspace a { }", "c1")
    assert fleet.all_reach(1)
    fleet.fake.faults.down = True
    late = fleet.make_node(99, seeds=[fleet.nodes[3].server.address])
    late.start()
    fleet.nodes.append(late)
    assert fleet.all_reach(1, [late])


def test_a_change_after_an_outage_reaches_every_process(fleet):
    fleet.accept("workspace a { }", "c1")
    assert fleet.all_reach(1)
    fleet.fake.faults.down = True
    eventlet.sleep(1.0)
    fleet.fake.faults.down = False
    fleet.accept("workspace b { }", "c2")
    assert fleet.all_reach(2)


def delta(base, revision, **documents):
    return peers.Delta(
        base=base,
        revision=revision,
        changed={k: v for k, v in documents.items() if v is not None},
        removed=[k for k, v in documents.items() if v is None],
    )


def test_a_store_rejects_old_mismatched_and_undecodable_deltas():
    store = control.ConfigStore()
    one = {"workspace//a": b'{"share": 1}'}
    two = {"workspace//a": b'{"share": 2}'}
    assert store.install(delta(0, 3, **one))
    assert not store.install(delta(0, 2, **two))
    assert not store.install(delta(0, 3, **two))
    assert not store.install(delta(2, 4, **two))
    assert store.configuration.get("workspace", "a").share == 1
    assert store.install(delta(3, 4, **two))
    assert not store.install(delta(4, 5, **{"workspace//b": b"not json"}))
    assert store.revision == 4
    assert store.configuration.get("workspace", "a").share == 2


def test_deltas_from_any_revision_give_the_same_configuration():
    source = control.ConfigStore()
    source.install(delta(0, 1, **{"workspace//a": b"{}"}))
    source.install(delta(1, 2, **{"workspace//b": b"{}"}))
    source.install(delta(2, 3, **{"workspace//a": None}))
    source.install(delta(3, 4, **{"workspace//a": b'{"share": 9}'}))
    for start in range(5):
        other = control.ConfigStore()
        if start:
            other.install(delta(0, 1, **{"workspace//a": b"{}"}))
        for step in source.history:
            if step.revision <= start:
                other.install(step)
        found = source.delta_from(other.revision)
        if found is not None:
            assert other.install(found)
        assert other.revision == source.revision
        found, wanted = other.configuration, source.configuration
        assert found.objects == wanted.objects
