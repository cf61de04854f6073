"""Executes the controller's orders to activate a version."""

import logging

from eventlet import semaphore

from zinniadyke.agent import _admission_gate
from zinniadyke.agent import _fence
from zinniadyke.agent import _stager
from zinniadyke import engine
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import peers
from zinniadyke import telemetry
from zinniadyke import weights

LOG = logging.getLogger(__name__)


class OrderExecutor:
    """Replaces the engine's weights with a staged version.

    It drains the gate, loads the version and reads the engine's state back
    before the gate opens again. Orders run one at a time.

    Parameters
    ----------
    drain_s
        Time for running attempts to end, in seconds. If some are still
        running then, the order fails and the gate reopens.

    Attributes
    ----------
    waiting
        Numeric result code of the last order if it failed, otherwise 0.
    """

    def __init__(
        self,
        *,
        gate: _admission_gate.AdmissionGate,
        fence: _fence.Fence,
        stager: _stager.Stager,
        client: engine.EngineClient,
        incarnation: ids.Incarnation,
        drain_s: float,
    ) -> None:
        """Create an executor that has received no orders."""
        self.gate = gate
        self.fence = fence
        self.stager = stager
        self.client = client
        self.incarnation = incarnation
        self.drain_s = drain_s
        self.lock = semaphore.Semaphore()
        self.waiting = 0

    def activate(self, inbound: peers.InboundMessage) -> None:
        """Execute an Activate order, then reply with its result."""
        order = inbound.message
        code = errors.ResultCode.OK
        detail = ""
        try:
            with self.lock:
                self._activate(order)
            self.waiting = 0
        except errors.ZinniadykeError as error:
            code, detail = error.code, error.message
            self.waiting = code.number
            telemetry.count(telemetry.Metric.ACTIVATIONS_FAILED)
            LOG.warning(
                "activation failed",
                extra={
                    "version": order.version,
                    "code": code.number,
                    "error": detail,
                },
            )
        inbound.reply(
            peers.OrderResult(
                version=order.version, code=code.number, detail=detail
            )
        )

    def _activate(self, order: peers.Activate) -> None:
        self._check_order(order)
        if self._is_serving(order.version):
            return
        stage = self.stager.stages.get(order.version)
        if stage is None or not stage.complete:
            raise errors.OrderRefusedError(code=errors.ResultCode.NOT_STAGED)
        needs_permit = self.gate.reported_state is peers.GateState.SERVING
        if needs_permit:
            self.fence.check_permit(order.version)
        # Do not yield to another green thread between this check and the
        # drain: the wanted version could change.
        self._check_wanted(order.version)
        previous_version = self.gate.version
        if not self.gate.drain(self.drain_s):
            self.gate.open(previous_version)
            raise errors.OrderRefusedError(
                "running attempts did not end within the drain timeout",
                code=errors.ResultCode.DRAINING,
            )
        self.gate.close()
        self.fence.check_agent_current()
        if needs_permit:
            self._recheck_permit(order.version, previous_version)
        self.client.load(
            order.version,
            stage.iter_chunks(),
            stage.manifest.size,
            order.fence,
        )
        self._read_back(order.version, stage.manifest)
        self.gate.open(order.version)
        telemetry.count(telemetry.Metric.ACTIVATIONS)
        LOG.info("serving", extra={"version": order.version})
        self.stager.note_used(order.version)

    def _recheck_permit(self, version: str, previous_version: str) -> None:
        """Check the permit again after the drain; serve on without it.

        The process may have been paused or delayed since the first check,
        and another target may be out of service with the permit by now.
        """
        try:
            self.fence.check_permit(version)
        except errors.ZinniadykeError:
            self.gate.open(previous_version)
            raise

    def _check_order(self, order: peers.Activate) -> None:
        if order.incarnation != self.incarnation:
            raise errors.OrderRefusedError(
                code=errors.ResultCode.STALE_INCARNATION
            )
        # This reads the store, and so its era, which the fencing number needs.
        self.fence.check_agent_current()
        self.fence.check_fencing_number(order.fence)
        self._check_wanted(order.version)

    def _check_wanted(self, version: str) -> None:
        if version not in self.stager.wanted():
            raise errors.OrderRefusedError(
                f"no current rollout wants {version} on this host",
                code=errors.ResultCode.STALE_FENCE,
            )

    def _is_serving(self, version: str) -> bool:
        return (
            self.gate.state is peers.GateState.SERVING
            and self.gate.version == version
        )

    def _read_back(self, version: str, manifest: weights.Manifest) -> None:
        state = self.client.state()
        if (state.loaded, state.digest) != (version, manifest.content):
            raise errors.EngineError(
                f"engine holds {state.loaded or 'nothing'}"
                f" with digest {state.digest[:12]}, expected {version}",
                code=errors.ResultCode.LOADED_MISMATCH,
            )
