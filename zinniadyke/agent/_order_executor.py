"""Carries out the controller's orders at the engine."""

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
    """Drains, loads, reads back and opens the gate.

    Parameters
    ----------
    drain_s
        Time that work in progress has before a swap is put off.
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
        """Hold the parts."""
        self.gate = gate
        self.fence = fence
        self.stager = stager
        self.client = client
        self.incarnation = incarnation
        self.drain_s = drain_s
        self.lock = semaphore.Semaphore()
        self.waiting = 0

    def activate(self, inbound: peers.Inbound) -> None:
        """Answer an Activate order once it has ended."""
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
        self._check(order)
        if self._serves(order.version):
            return
        stage = self.stager.stages.get(order.version)
        if stage is None or not stage.complete:
            raise errors.OrderRefusedError(code=errors.ResultCode.NOT_STAGED)
        if self.gate.shown is peers.GateState.SERVING:
            self.fence.check_permit(order.version)
        # Nothing may run between this check and the drain.
        self._check_wanted(order.version)
        before = self.gate.version
        if not self.gate.drain(self.drain_s):
            self.gate.open(before)
            raise errors.OrderRefusedError(
                "work in progress did not end in time",
                code=errors.ResultCode.DRAINING,
            )
        self.gate.close()
        self.fence.check_current()
        self.client.load(
            order.version, stage.parts(), stage.manifest.size, order.fence
        )
        self._read_back(order.version, stage.manifest)
        self.gate.open(order.version)
        telemetry.count(telemetry.Metric.ACTIVATIONS)
        LOG.info("serving", extra={"version": order.version})
        self.stager.note_used(order.version)

    def _check(self, order: peers.Activate) -> None:
        if order.incarnation != self.incarnation:
            raise errors.OrderRefusedError(
                code=errors.ResultCode.STALE_INCARNATION
            )
        self.fence.check_number(order.fence)
        self.fence.check_current()
        self._check_wanted(order.version)

    def _check_wanted(self, version: str) -> None:
        if version not in self.stager.wanted():
            raise errors.OrderRefusedError(
                f"{version} is not the current rollout's version",
                code=errors.ResultCode.STALE_FENCE,
            )

    def _serves(self, version: str) -> bool:
        return (
            self.gate.state is peers.GateState.SERVING
            and self.gate.version == version
        )

    def _read_back(self, version: str, manifest: weights.Manifest) -> None:
        state = self.client.state()
        if (state.loaded, state.digest) != (version, manifest.content):
            raise errors.EngineError(
                f"the engine holds {state.loaded or 'nothing'}"
                f" {state.digest[:12]}, not {version}",
                code=errors.ResultCode.LOADED_MISMATCH,
            )
