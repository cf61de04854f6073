"""What the controller concludes from the statuses of targets."""

import types

import msgspec
import pytest

from zinniadyke import control
from zinniadyke import peers
from zinniadyke import platform

HOST = platform.Host(
    name="a",
    role=platform.HostRole.TARGET,
    zone="cairo",
    region="egypt",
    peer="127.0.0.1:1",
    service="s",
)
OLD, NEW = "m/1", "m/2"
SERVING = peers.Status(
    host="a",
    zone="cairo",
    service="s",
    incarnation="life-1",
    gate=peers.GateState.SERVING,
    version=OLD,
    staged=[NEW],
    running=0,
    slots=0,
    revision=7,
)


class Node:
    """A node whose peers all answer with one status."""

    def __init__(self, status: peers.Status) -> None:
        self.me = HOST
        self.incarnation = "entry-life"
        self.client = platform.PlatformClient(url="http://127.0.0.1:1")
        self.store = types.SimpleNamespace(revision=7)
        self.status = status

    def connect(self, host):
        return self

    def ask(self, message, timeout_s):
        return self.status, b""


def controller(status: peers.Status) -> control.RolloutController:
    return control.RolloutController(node=Node(status), service="s")


def test_a_status_from_another_host_is_not_taken():
    """A port may be taken by another process since it was listed."""
    other = msgspec.structs.replace(SERVING, host="b")
    assert controller(other)._statuses([HOST]) == {}
    assert controller(SERVING)._statuses([HOST]) == {"a": SERVING}


@pytest.mark.parametrize(
    ("version", "change", "done"),
    [
        (NEW, {}, False),
        (NEW, {"version": NEW}, True),
        (NEW, {"gate": peers.GateState.DRAINING}, False),
        (NEW, {"incarnation": "life-2"}, True),
        ("m/3", {}, True),
        ("m/3", {"revision": 6}, False),
        (OLD, {}, True),
    ],
)
def test_a_permit_lasts_while_an_order_may_still_use_it(version, change, done):
    status = msgspec.structs.replace(SERVING, **change)
    permit = control.Permit(incarnation="life-1", version=version)
    assert controller(status)._is_done(status, permit, NEW) is done


def test_a_permit_lasts_until_the_order_is_answered():
    loaded = msgspec.structs.replace(SERVING, version=NEW)
    made = controller(loaded)
    made.ordered["a"] = None
    permit = control.Permit(incarnation="life-1", version=NEW)
    assert not made._is_done(loaded, permit, NEW)
    assert not made._is_done(None, permit, NEW)
