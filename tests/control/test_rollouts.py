"""Decisions that the rollout controller makes from target statuses."""

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
    """Fake node whose peers all answer with the same status."""

    def __init__(self, status: peers.Status) -> None:
        self.me = HOST
        self.incarnation = "entry-life"
        self.client = platform.PlatformClient(url="http://127.0.0.1:1")
        self.store = types.SimpleNamespace(revision=7)
        self.status = status

    def connect(self, host):
        return self

    def send_and_receive(self, message, timeout_s):
        return self.status, b""


def controller(status: peers.Status) -> control.RolloutController:
    return control.RolloutController(node=Node(status), service="s")


def test_a_status_from_another_host_is_ignored():
    """Another process may have taken the port since the host was listed."""
    other = msgspec.structs.replace(SERVING, host="b")
    assert controller(other)._fetch_statuses([HOST]) == {}
    assert controller(SERVING)._fetch_statuses([HOST]) == {"a": SERVING}


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
def test_a_permit_is_kept_while_an_order_can_use_it(version, change, done):
    status = msgspec.structs.replace(SERVING, **change)
    permit = control.Permit(incarnation="life-1", version=version)
    assert controller(status)._can_release_permit(status, permit, NEW) is done


def test_a_permit_is_kept_while_its_order_is_in_flight():
    loaded = msgspec.structs.replace(SERVING, version=NEW)
    made = controller(loaded)
    made.orders_in_flight["a"] = None
    permit = control.Permit(incarnation="life-1", version=NEW)
    assert not made._can_release_permit(loaded, permit, NEW)
    assert not made._can_release_permit(None, permit, NEW)
