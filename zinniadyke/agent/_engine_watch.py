"""Keeps the admission gate consistent with the engine's state."""

import logging

import eventlet

from zinniadyke.agent import _admission_gate
from zinniadyke.agent import _fence
from zinniadyke.agent import _stager
from zinniadyke import engine
from zinniadyke import errors
from zinniadyke import peers

LOG = logging.getLogger(__name__)

ENGINE_POLL_S = 0.5


class EngineWatch:
    """Compares the engine's state with the admission gate.

    It opens the gate if the engine already holds a complete declared
    version when the agent starts, and closes it if the engine no longer
    holds the version that the gate admits.

    Parameters
    ----------
    is_order_running
        Returns whether an order is being executed.
    """

    def __init__(
        self,
        *,
        gate: _admission_gate.AdmissionGate,
        fence: _fence.Fence,
        stager: _stager.Stager,
        client: engine.EngineClient,
        is_order_running,
    ) -> None:
        """Create a watch; ``run`` polls the engine."""
        self.gate = gate
        self.fence = fence
        self.stager = stager
        self.client = client
        self.is_order_running = is_order_running

    def run(self) -> None:
        """Poll the engine until killed."""
        while True:
            try:
                self.check()
            except errors.ZinniadykeError as error:
                LOG.info("engine check failed", extra={"error": error.message})
            self.stager.note_engine_checked()
            eventlet.sleep(ENGINE_POLL_S)

    def check(self) -> None:
        """Compare the engine's state with the gate once.

        Raises
        ------
        ZinniadykeError
            The engine, the platform or the manifest cannot be read.
        """
        if self.is_order_running():
            return
        try:
            state = self.client.state()
        except errors.EngineError:
            self._close_gate("the engine does not answer")
            raise
        if self.is_order_running():
            return
        if self.gate.state is peers.GateState.CLOSED:
            if state.loaded:
                self._admit_loaded_version(state)
        elif not self.holds(state, self.gate.version):
            self._close_and_restage()

    def holds(self, state: engine.EngineState, version: str) -> bool:
        """Return whether the engine holds all bytes of ``version``."""
        manifest = self.stager.manifests.get(version)
        if manifest is None:
            return False
        return (state.loaded, state.digest) == (version, manifest.content)

    def serves(self, version: str) -> bool:
        """Return whether the engine answers and holds a version."""
        try:
            return self.client.state().loaded == version
        except errors.EngineError:
            return False

    def verify_version(self, version: str) -> bool:
        """Return whether the engine's current state matches ``version``.

        If the engine holds something else, the gate closes immediately.
        """
        try:
            state = self.client.state()
        except errors.EngineError:
            return False
        if self.holds(state, version):
            return True
        if self.gate.version == version and not self.is_order_running():
            self._close_and_restage()
        return False

    def _close_and_restage(self) -> None:
        """Close the gate and allow its version to be fetched again."""
        lost_version = self.gate.version
        self._close_gate("the engine holds something else")
        self.stager.restage(lost_version)

    def _admit_loaded_version(self, state: engine.EngineState) -> None:
        """Open the gate for a version loaded before this agent started."""
        if self.stager.load_manifest(state.loaded) is None:
            return
        if not self.holds(state, state.loaded):
            self.stager.restage(state.loaded)
            return
        self.fence.check_agent_current()
        state_after_checks = self.client.state()
        if (
            self.is_order_running()
            or state_after_checks.loaded != state.loaded
        ):
            return
        LOG.info(
            "gate opened for loaded version", extra={"version": state.loaded}
        )
        self.gate.open(state.loaded)

    def _close_gate(self, reason: str) -> None:
        if self.gate.state is peers.GateState.CLOSED:
            return
        LOG.warning(
            "gate closed",
            extra={"version": self.gate.version, "reason": reason},
        )
        self.gate.close()
