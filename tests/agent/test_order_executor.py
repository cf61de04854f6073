"""Tests of orders at engines that check fencing numbers or ignore them."""

import hashlib

import pytest

from zinniadyke import agent
from zinniadyke.agent import _fence
from zinniadyke.agent import _order_executor
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
    """Stager double that holds fully staged versions."""

    def __init__(self) -> None:
        self.stages = {}

    def stage(self, name: str) -> None:
        encoded = MANIFEST.encode()
        digest = hashlib.sha256(encoded).hexdigest()
        made = weights.StagingArea(digest=digest)
        made.add(weights.MANIFEST_INDEX, encoded)
        for index in range(len(MANIFEST.chunks)):
            start, size = MANIFEST.span(index)
            made.add(index, BLOB[start : start + size])
        self.stages[name] = made

    def wanted(self):
        return self.stages

    def note_used(self, name: str) -> None:
        """Ignore the use."""


class EngineSetup:
    """An engine with the order executors of one or more agents."""

    def __init__(self, checks_fencing: bool) -> None:
        self.platform = fakes.FakePlatform()
        self.engine = fakes.FakeEngine(checks_fencing=checks_fencing)
        self.stager = Stager()
        for name in ("m/1", "m/2"):
            self.stager.stage(name)

    def executor(self, incarnation: str) -> _order_executor.OrderExecutor:
        fence = _fence.Fence(
            client=platform.PlatformClient(url=self.platform.url),
            host="h",
            service="s",
            incarnation=incarnation,
        )
        return _order_executor.OrderExecutor(
            gate=agent.AdmissionGate(),
            fence=fence,
            stager=self.stager,
            client=engine.EngineClient(url=self.engine.url),
            incarnation=incarnation,
            drain_s=1.0,
        )

    def permit(self, incarnation: str, version: str) -> None:
        """Make this permit the only one of the service."""
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


class RecordingInbound:
    """Records the result code of the reply to an order."""

    def __init__(self, message) -> None:
        self.message = message
        self.code = None

    def reply(self, result, payload=b"") -> None:
        self.code = errors.ResultCode.from_number(result.code)


def send(executor, version, fence, incarnation) -> errors.ResultCode:
    order = peers.Activate(
        version=version, fence=fence, incarnation=incarnation
    )
    inbound = RecordingInbound(order)
    executor.activate(inbound)
    return inbound.code


@pytest.fixture(params=[True, False], ids=["checks", "ignores"])
def engine_setup(request):
    made = EngineSetup(request.param)
    yield made
    made.stop()


def test_a_lower_fencing_number_is_refused_and_the_version_stays(engine_setup):
    executor = engine_setup.executor("life-1")
    assert send(executor, "m/2", 5, "life-1") is errors.ResultCode.OK
    found = send(executor, "m/1", 4, "life-1")
    assert found is errors.ResultCode.STALE_FENCE
    assert engine_setup.engine.loads == ["m/2"]
    assert executor.gate.version == "m/2"


def test_without_the_fencing_check_a_stale_order_is_executed(
    engine_setup, monkeypatch
):
    """Show the fault that the agent's check of fencing numbers prevents.

    An engine that ignores fencing numbers loads the older order. One that
    checks them refuses the load, after the agent has closed its gate.
    """
    monkeypatch.setattr(
        _fence.Fence, "check_fencing_number", lambda *args: None
    )
    executor = engine_setup.executor("life-1")
    engine_setup.permit("life-1", "m/1")
    send(executor, "m/2", 5, "life-1")
    send(executor, "m/1", 4, "life-1")
    broken = engine_setup.engine.fencing_numbers != sorted(
        engine_setup.engine.fencing_numbers
    )
    stopped = executor.gate.state is peers.GateState.CLOSED
    assert broken or stopped


def test_a_restarted_agent_reads_the_fencing_number_of_the_lease(engine_setup):
    client = platform.PlatformClient(url=engine_setup.platform.url)
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
    executor = engine_setup.executor("life-2")
    found = send(executor, "m/1", 8, "life-2")
    assert found is errors.ResultCode.STALE_FENCE
    assert send(executor, "m/1", 9, "life-2") is errors.ResultCode.OK


def test_an_order_for_a_former_incarnation_is_refused(engine_setup):
    executor = engine_setup.executor("life-2")
    found = send(executor, "m/1", 1, "life-1")
    assert found is errors.ResultCode.STALE_INCARNATION
    assert engine_setup.engine.loads == []


def test_a_former_agent_does_not_load_the_engine(engine_setup):
    former = engine_setup.executor("life-1")
    former.fence.register()
    current = engine_setup.executor("life-2")
    assert send(current, "m/2", 3, "life-2") is errors.ResultCode.OK
    found = send(former, "m/1", 3, "life-1")
    assert found is errors.ResultCode.STALE_INCARNATION
    assert engine_setup.engine.loads == ["m/2"]


def test_while_the_platform_is_down_no_order_is_executed(engine_setup):
    executor = engine_setup.executor("life-1")
    engine_setup.platform.faults.down = True
    found = send(executor, "m/1", 1, "life-1")
    assert found is errors.ResultCode.PLATFORM_UNAVAILABLE
    engine_setup.platform.faults.down = False
    assert send(executor, "m/1", 1, "life-1") is errors.ResultCode.OK


def test_a_truncated_load_never_opens_the_gate(engine_setup):
    executor = engine_setup.executor("life-1")
    engine_setup.engine.faults.truncate_loads = 1
    found = send(executor, "m/1", 1, "life-1")
    assert found is errors.ResultCode.LOADED_MISMATCH
    assert executor.gate.state is peers.GateState.CLOSED
    assert send(executor, "m/1", 1, "life-1") is errors.ResultCode.OK
    assert executor.gate.state is peers.GateState.SERVING


@pytest.mark.parametrize(
    ("life", "version"), [("life-0", "m/2"), ("life-1", "m/1")]
)
def test_a_serving_target_needs_its_own_permit_to_stop(
    engine_setup, life, version
):
    executor = engine_setup.executor("life-1")
    assert send(executor, "m/1", 1, "life-1") is errors.ResultCode.OK
    engine_setup.permit(life, version)
    found = send(executor, "m/2", 1, "life-1")
    assert found is errors.ResultCode.WAITING_FLOOR
    assert executor.gate.state is peers.GateState.SERVING
    engine_setup.permit("life-1", "m/2")
    assert send(executor, "m/2", 1, "life-1") is errors.ResultCode.OK
    assert engine_setup.engine.loads == ["m/1", "m/2"]


def test_a_permit_that_is_gone_after_the_drain_is_not_used(
    engine_setup, monkeypatch
):
    """The process is paused in the drain; another target is out by then."""
    executor = engine_setup.executor("life-1")
    assert send(executor, "m/1", 1, "life-1") is errors.ResultCode.OK
    engine_setup.permit("life-1", "m/2")

    def drain(timeout_s):
        engine_setup.permit("life-9", "m/2")
        return True

    monkeypatch.setattr(executor.gate, "drain", drain)
    found = send(executor, "m/2", 1, "life-1")
    assert found is errors.ResultCode.WAITING_FLOOR
    assert executor.gate.state is peers.GateState.SERVING
    assert executor.gate.version == "m/1"
    assert engine_setup.engine.loads == ["m/1"]


def test_a_drained_target_needs_no_permit(engine_setup):
    executor = engine_setup.executor("life-1")
    send(executor, "m/1", 1, "life-1")
    executor.gate.set_refusing(leaving=True)
    assert send(executor, "m/2", 1, "life-1") is errors.ResultCode.OK
