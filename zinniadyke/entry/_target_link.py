"""An entry's link to one agent: connection, heartbeats and load."""

from collections.abc import Callable
import logging
import random

import eventlet

import msgspec

from zinniadyke import errors
from zinniadyke import peers
from zinniadyke import platform

LOG = logging.getLogger(__name__)

HEARTBEAT_HOLD_S = 2.0
HEARTBEAT_TIMEOUT_S = 0.5
HEARTBEAT_RETRY_S = 0.1
MAX_MISSED_HEARTBEATS = 2
EJECTION_FAILURES = 5
EJECTION_S = 5.0


class TargetLink:
    """Tracks the state of one agent and this entry's requests in flight.

    Parameters
    ----------
    host
        The target's host.
    connection
        Connection to the agent on the host.
    on_change
        Called after each status, as the target may accept work again.
    on_status
        Called with each status.
    """

    def __init__(
        self,
        *,
        host: platform.Host,
        connection: peers.PeerConnection,
        on_change,
        on_status: Callable[[peers.Status], None] = lambda status: None,
    ) -> None:
        """Start the heartbeat task."""
        self.host = host
        self.connection = connection
        self.on_change = on_change
        self.on_status = on_status
        self.status: peers.Status | None = None
        self.missed_heartbeats = 0
        self.in_flight = 0
        self.draining = False
        self.consecutive_failures = 0
        self.ejected_until_s = 0.0
        self.task = eventlet.spawn(self._run_heartbeats)

    @property
    def alive(self) -> bool:
        """Whether the agent responds to heartbeats."""
        return (
            self.status is not None
            and self.missed_heartbeats < MAX_MISSED_HEARTBEATS
        )

    @property
    def possibly_alive(self) -> bool:
        """Whether the target is not known to be lost.

        A closed connection is replaced at the pool's next refresh, so it
        says nothing about the target.
        """
        return (
            self.missed_heartbeats < MAX_MISSED_HEARTBEATS
            or self.connection.closed
        )

    @property
    def reachable(self) -> bool:
        """Whether a message can still reach the agent."""
        return (
            self.missed_heartbeats < MAX_MISSED_HEARTBEATS
            and not self.connection.closed
        )

    @property
    def accepts_work(self) -> bool:
        """Whether the target accepts new work."""
        return (
            self.alive
            and not self.draining
            and not self.connection.closed
            and self.status.gate is peers.GateState.SERVING
            and self.host.state is platform.HostState.LIVE
        )

    @property
    def free_slots(self) -> int:
        """Estimated free slots.

        The agent's report lags, so this entry's own count is used where it
        is higher.
        """
        if not self.accepts_work:
            return 0
        used = max(self.in_flight, self.status.running)
        return max(self.status.slots, 1) - used

    @property
    def load(self) -> float:
        """Fraction of the slots in use."""
        slots = max(self.status.slots, 1) if self.status else 1
        running = self.status.running if self.status else 0
        return max(self.in_flight, running) / slots

    def record_result(self, now_s: float, failed: bool) -> None:
        """Eject the target after ``EJECTION_FAILURES`` consecutive failures.

        Parameters
        ----------
        now_s
            Monotonic time in seconds.
        """
        self.consecutive_failures = (
            self.consecutive_failures + 1 if failed else 0
        )
        if self.consecutive_failures >= EJECTION_FAILURES:
            self.consecutive_failures = 0
            self.ejected_until_s = now_s + EJECTION_S

    def connects_to(self, host: platform.Host) -> bool:
        """Return whether the connection is open and leads to ``host``."""
        return self.host.peer == host.peer and not self.connection.closed

    def start_draining(self, *, replaced: bool) -> None:
        """Accept no new work; heartbeats continue for work in progress.

        Parameters
        ----------
        replaced
            The host has a new agent, so the old one has certainly ended.
        """
        self.draining = True
        if replaced:
            self.missed_heartbeats = MAX_MISSED_HEARTBEATS + 1
            self.connection.fail_calls()

    @property
    def idle(self) -> bool:
        """Whether no request is in flight, or all of them have failed."""
        return (
            self.in_flight == 0
            or self.missed_heartbeats > MAX_MISSED_HEARTBEATS
        )

    def close(self) -> None:
        """Stop the heartbeat task."""
        self.task.kill()

    def _run_heartbeats(self) -> None:
        while True:
            self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        message = self._heartbeat_message()
        try:
            status, _ = self.connection.send_and_receive(
                message, message.wait_s + HEARTBEAT_TIMEOUT_S
            )
        except errors.PeerTimeoutError:
            self._record_missed_heartbeat()
            eventlet.sleep(HEARTBEAT_RETRY_S * random.uniform(0.5, 1.0))
            return
        previous = self.status
        self.status = status
        self.missed_heartbeats = 0
        if previous and previous.incarnation != status.incarnation:
            LOG.info(
                "agent restarted, failing requests in flight",
                extra={"target": self.host.name},
            )
            self.connection.fail_calls()
        self.on_status(status)
        self.on_change()

    def tell(self, findings: peers.SuspectFindings) -> None:
        """Tell the agent what this entry has found out about crashes."""
        try:
            self.connection.send_and_receive(
                peers.GetStatus(findings=findings), HEARTBEAT_TIMEOUT_S
            )
        except errors.PeerTimeoutError:
            LOG.info(
                "findings not delivered", extra={"target": self.host.name}
            )

    def _heartbeat_message(self) -> peers.GetStatus:
        """Return the next heartbeat.

        After a successful heartbeat the agent holds the next one until its
        gate or version changes, at most for ``wait_s``.
        """
        if self.status is None or self.missed_heartbeats:
            return peers.GetStatus()
        return peers.GetStatus(
            wait_s=HEARTBEAT_HOLD_S * random.uniform(0.8, 1.0),
            gate=self.status.gate,
            version=self.status.version,
            news=self.status.news,
        )

    def update_running(self, running: int) -> None:
        """Update the number of running attempts from a response."""
        if self.status is not None:
            self.status = msgspec.structs.replace(self.status, running=running)

    def _record_missed_heartbeat(self) -> None:
        self.missed_heartbeats += 1
        if self.missed_heartbeats == MAX_MISSED_HEARTBEATS:
            LOG.warning(
                "target lost, failing requests in flight",
                extra={"target": self.host.name},
            )
            self.connection.fail_calls()
