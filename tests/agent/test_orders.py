"""Orders with old numbers, of former agents, in engines of both kinds."""

import hashlib

import pytest

from zinniadyke import agent
from zinniadyke.agent import _fence
from zinniadyke.agent import _orders
from zinniadyke import control
from zinniadyke.control import _lease
from zinniadyke import engine
from zinniadyke import errors
from zinniadyke import fakes
from zinniadyke import peers
from zinniadyke import platform
from zinniadyke import weights

BLOB = b"weights" * 1000
MANIFEST = weights.build_manifest(BLOB, 1000)


class Stager:
    """Staged versions, as much of a stager as orders need."""

    def __init__(self) -> None:
        self.stages = {}

    def stage(self, name: str) -> None:
        encoded = MANIFEST.encode()
        digest = hashlib.sha256(encoded).hexdigest()
        made = weights.Stage(digest=digest)
        made.add(weights.MANIFEST_INDEX, encoded)
        for index in range(len(MANIFEST.chunks)):
            start, size = MANIFEST.span(index)
            made.add(index, BLOB[start : start + size])
        self.stages[name] = made

    def wanted(self):
        return self.stages

    def note_used(self, name: str) -> None:
        """Take the note."""


class Beside:
    """An engine with one or more agents' order takers."""

    def __init__(self, checks_fencing: bool) -> None:
        self.platform = fakes.FakePlatform()
        self.engine = fakes.FakeEngine(checks_fencing=checks_fencing)
        self.stager = Stager()
        for name in ("m/1", "m/2"):
            self.stager.stage(name)

    def orders(self, incarnation: str) -> _orders.Orders:
        fence = _fence.Fence(
            client=platform.PlatformClient(url=self.platform.url),
            host="h",
            service="s",
            incarnation=incarnation,
        )
        return _orders.Orders(
            gate=agent.Gate(),
            fence=fence,
            stager=self.stager,
            client=engine.EngineClient(url=self.engine.url),
            incarnation=incarnation,
            drain_s=1.0,
        )

    def permit(self, incarnation: str, version: str) -> None:
        """Make this the only permit of the service."""
        client = platform.PlatformClient(url=self.platform.url)
        control.PermitAllocator(client=client, service="s").reconcile(
            wanted={
                "h": control.Permit(incarnation=incarnation, version=version)
            },
            can_release=lambda host, permit: True,
            known={"h"},
            down=set(),
            floor=0,
            fence=1,
        )

    def stop(self) -> None:
        self.platform.stop()
        self.engine.stop()


class Inbox:
    """Collects the answer to an order."""

    def __init__(self, message) -> None:
        self.message = message
        self.code = None

    def reply(self, result, payload=b"") -> None:
        self.code = errors.ResultCode.from_number(result.code)


def send(orders, version, fence, incarnation) -> errors.ResultCode:
    order = peers.Activate(
        version=version, fence=fence, incarnation=incarnation
    )
    inbox = Inbox(order)
    orders.activate(inbox)
    return inbox.code


@pytest.fixture(params=[True, False], ids=["checks", "ignores"])
def beside(request):
    made = Beside(request.param)
    yield made
    made.stop()


def test_an_old_number_is_refused_and_the_newer_version_stays(beside):
    orders = beside.orders("life-1")
    assert send(orders, "m/2", 5, "life-1") is errors.ResultCode.OK
    found = send(orders, "m/1", 4, "life-1")
    assert found is errors.ResultCode.STALE_FENCE
    assert beside.engine.loads == ["m/2"]
    assert orders.gate.version == "m/2"


def test_with_the_fence_off_an_old_order_is_carried_out(beside, monkeypatch):
    monkeypatch.setattr(_fence.Fence, "check_number", lambda *args: None)
    orders = beside.orders("life-1")
    beside.permit("life-1", "m/1")
    send(orders, "m/2", 5, "life-1")
    send(orders, "m/1", 4, "life-1")
    broken = beside.engine.fencing_numbers != sorted(
        beside.engine.fencing_numbers
    )
    stopped = orders.gate.state is peers.GateState.CLOSED
    assert broken or stopped


def test_a_restarted_agent_reads_the_floor_first(beside):
    client = platform.PlatformClient(url=beside.platform.url)
    lease = _lease.Lease(
        client=client, key="rollouts/s", holder="e", incarnation="e-life"
    )
    lease.renew_or_acquire()
    record = b'{"holder":"e","incarnation":"e-life","fence":9}'
    client.put(
        lease.key,
        record,
        purpose=platform.Purpose.LEASE,
        revision=client.get(
            lease.key, purpose=platform.Purpose.LEASE
        ).revision,
    )
    orders = beside.orders("life-2")
    found = send(orders, "m/1", 8, "life-2")
    assert found is errors.ResultCode.STALE_FENCE
    assert send(orders, "m/1", 9, "life-2") is errors.ResultCode.OK


def test_an_order_for_a_former_life_is_refused(beside):
    orders = beside.orders("life-2")
    found = send(orders, "m/1", 1, "life-1")
    assert found is errors.ResultCode.STALE_INCARNATION
    assert beside.engine.loads == []


def test_a_paused_former_agent_gives_no_order(beside):
    former = beside.orders("life-1")
    former.fence.register()
    current = beside.orders("life-2")
    assert send(current, "m/2", 3, "life-2") is errors.ResultCode.OK
    found = send(former, "m/1", 3, "life-1")
    assert found is errors.ResultCode.STALE_INCARNATION
    assert beside.engine.loads == ["m/2"]


def test_while_the_platform_is_down_no_order_is_carried_out(beside):
    orders = beside.orders("life-1")
    beside.platform.faults.down = True
    found = send(orders, "m/1", 1, "life-1")
    assert found is errors.ResultCode.PLATFORM_UNAVAILABLE
    beside.platform.faults.down = False
    assert send(orders, "m/1", 1, "life-1") is errors.ResultCode.OK


def test_a_truncated_load_never_opens_the_gate(beside):
    orders = beside.orders("life-1")
    beside.engine.faults.truncate_loads = 1
    found = send(orders, "m/1", 1, "life-1")
    assert found is errors.ResultCode.LOADED_MISMATCH
    assert orders.gate.state is peers.GateState.CLOSED
    assert send(orders, "m/1", 1, "life-1") is errors.ResultCode.OK
    assert orders.gate.state is peers.GateState.SERVING


@pytest.mark.parametrize(
    ("life", "version"), [("life-0", "m/2"), ("life-1", "m/1")]
)
def test_a_serving_target_needs_its_own_permit_to_stop(beside, life, version):
    orders = beside.orders("life-1")
    assert send(orders, "m/1", 1, "life-1") is errors.ResultCode.OK
    beside.permit(life, version)
    found = send(orders, "m/2", 1, "life-1")
    assert found is errors.ResultCode.WAITING_FLOOR
    assert orders.gate.state is peers.GateState.SERVING
    beside.permit("life-1", "m/2")
    assert send(orders, "m/2", 1, "life-1") is errors.ResultCode.OK
    assert beside.engine.loads == ["m/1", "m/2"]


def test_a_drained_target_needs_no_permit(beside):
    orders = beside.orders("life-1")
    send(orders, "m/1", 1, "life-1")
    orders.gate.refuse(leaving=True)
    assert send(orders, "m/2", 1, "life-1") is errors.ResultCode.OK
