"""Keeps the gate true to what the engine holds."""

import logging

import eventlet

from zinniadyke.agent import _admission_gate
from zinniadyke.agent import _fence
from zinniadyke.agent import _stager
from zinniadyke import engine
from zinniadyke import errors
from zinniadyke import peers

LOG = logging.getLogger(__name__)

POLL_S = 0.5


class EngineWatch:
    """Compares the engine's state with the gate.

    It opens the gate when a new agent finds an engine that holds a whole
    declared version, and closes it when the engine no longer holds what
    the gate admits.

    Parameters
    ----------
    busy
        Returns whether an order is being carried out.
    """

    def __init__(
        self,
        *,
        gate: _admission_gate.AdmissionGate,
        fence: _fence.Fence,
        stager: _stager.Stager,
        client: engine.EngineClient,
        busy,
    ) -> None:
        """Hold the parts; ``run`` does the work."""
        self.gate = gate
        self.fence = fence
        self.stager = stager
        self.client = client
        self.busy = busy

    def run(self) -> None:
        """Compare until killed."""
        while True:
            try:
                self.check()
            except errors.ZinniadykeError as error:
                LOG.info("engine watch", extra={"error": error.message})
            self.stager.note_engine_checked()
            eventlet.sleep(POLL_S)

    def check(self) -> None:
        """Compare once.

        Raises
        ------
        ZinniadykeError
            The engine, the platform or the manifest cannot be read.
        """
        if self.busy():
            return
        try:
            state = self.client.state()
        except errors.EngineError:
            self._close_gate("the engine does not answer")
            raise
        if self.busy():
            return
        if self.gate.state is peers.GateState.CLOSED:
            if state.loaded:
                self._adopt(state)
        elif not self.holds(state, self.gate.version):
            self._close_lost()

    def holds(self, state: engine.EngineState, version: str) -> bool:
        """Return whether the engine holds the whole of ``version``."""
        manifest = self.stager.manifests.get(version)
        if manifest is None:
            return False
        return (state.loaded, state.digest) == (version, manifest.content)

    def verify_version(self, version: str) -> bool:
        """Read the engine and return whether it holds ``version``.

        If it holds something else the gate is closed at once.
        """
        try:
            state = self.client.state()
        except errors.EngineError:
            return False
        if self.holds(state, version):
            return True
        if self.gate.version == version and not self.busy():
            self._close_lost()
        return False

    def _close_lost(self) -> None:
        """Close the gate and fetch again what the engine has lost."""
        lost = self.gate.version
        self._close_gate("the engine holds something else")
        self.stager.restage(lost)

    def _adopt(self, state: engine.EngineState) -> None:
        """Admit what the engine held before this agent began."""
        if self.stager.load_manifest(state.loaded) is None:
            return
        if not self.holds(state, state.loaded):
            self.stager.restage(state.loaded)
            return
        self.fence.check_current()
        again = self.client.state()
        if self.busy() or again.loaded != state.loaded:
            return
        LOG.info("adopted", extra={"version": state.loaded})
        self.gate.open(state.loaded)

    def _close_gate(self, reason: str) -> None:
        if self.gate.state is peers.GateState.CLOSED:
            return
        LOG.warning(
            "gate closed",
            extra={"version": self.gate.version, "reason": reason},
        )
        self.gate.close()
