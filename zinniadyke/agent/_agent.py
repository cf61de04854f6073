"""The agent of one target: admission, orders and weight distribution."""

import logging
import urllib.parse

import eventlet

from zinniadyke.agent import _admission_gate
from zinniadyke.agent import _attempt_runner
from zinniadyke.agent import _chunk_server
from zinniadyke.agent import _crash_log
from zinniadyke.agent import _engine_watch
from zinniadyke.agent import _fence
from zinniadyke.agent import _order_executor
from zinniadyke.agent import _stager
from zinniadyke.agent import _workspace_tokens
from zinniadyke import control
from zinniadyke import engine
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import listening
from zinniadyke import objects
from zinniadyke import peers
from zinniadyke import platform
from zinniadyke.settings import AgentSettings
from zinniadyke import weights

LOG = logging.getLogger(__name__)

SERVICE_CHECK_INTERVAL_S = 0.2
SOCKET_LINGER_MS = 500
KIB = 1 << 10
MIB = 1 << 20


class Agent:
    """Admits requests to one target and manages its weights.

    Parameters
    ----------
    settings
        The agent's settings.
    platform_url
        Base URL of the platform.
    """

    def __init__(self, *, settings: AgentSettings, platform_url: str) -> None:
        """Bind the peer socket; ``start`` starts the tasks."""
        self.settings = settings
        self.node = control.Node(
            me=platform.Host(
                name=ids.HostName(settings.name),
                role=platform.HostRole.TARGET,
                zone=ids.ZoneName(settings.zone),
                region=settings.region,
                peer=settings.peer,
                service=ids.ServiceName(settings.service),
            ),
            platform_url=platform_url,
            seeds=settings.seeds,
        )
        self.service = self.node.me.service
        self.client = engine.EngineClient(url=settings.engine)
        self.gate = _admission_gate.AdmissionGate()
        self.attempt_runner = _attempt_runner.AttemptRunner(
            gate=self.gate,
            client=self.client,
            incarnation=self.node.incarnation,
        )
        self.fence = _fence.Fence(
            client=self.node.client,
            host=self.node.me.name,
            service=self.service,
            incarnation=self.node.incarnation,
        )
        self.stager = _stager.Stager(
            node=self.node,
            service=self.service,
            gate=self.gate,
            budget_bytes=settings.staging_mib * MIB,
            download_bucket=weights.TokenBucket(
                bytes_per_s=settings.download_mib_s * MIB,
                burst_bytes=settings.burst_kib * KIB,
            ),
        )
        self.chunks = _chunk_server.ChunkServer(
            stager=self.stager,
            upload_bucket=weights.TokenBucket(
                bytes_per_s=settings.upload_mib_s * MIB,
                burst_bytes=settings.burst_kib * KIB,
            ),
            incarnation=self.node.incarnation,
        )
        self.order_executor = _order_executor.OrderExecutor(
            gate=self.gate,
            fence=self.fence,
            stager=self.stager,
            client=self.client,
            incarnation=self.node.incarnation,
            drain_s=settings.drain_s,
        )
        self.engine_watch = _engine_watch.EngineWatch(
            gate=self.gate,
            fence=self.fence,
            stager=self.stager,
            client=self.client,
            is_order_running=self.order_executor.lock.locked,
        )
        self.attempt_runner.verify_version = self.engine_watch.verify_version
        self.crash_log = _crash_log.CrashLog(
            incarnation=self.node.incarnation,
            runs_on=self._runs_on,
            on_news=self.gate.notify_change,
        )
        self.attempt_runner.crash_log = self.crash_log
        self.workspace_tokens = _workspace_tokens.WorkspaceTokens()
        self.engine_watch_task: eventlet.greenthread.GreenThread | None = None
        self.tasks: list[eventlet.greenthread.GreenThread] = []

    def _runs_on(self, version: str) -> bool:
        """Whether the engine serves a version, or a plain service listens."""
        if version:
            return self.engine_watch.serves(version)
        address = urllib.parse.urlsplit(self.client.url).netloc
        return not listening.refuses_connections(address)

    def start(self) -> None:
        """Start to answer peers and to follow the configuration."""
        server = self.node.server
        server.register_handler(peers.Run, self.attempt_runner.run)
        server.register_handler(peers.CloseAttempt, self.attempt_runner.close)
        server.register_handler(peers.GetStatus, self._answer_status)
        server.register_handler(peers.GetChunk, self.chunks.answer)
        server.register_handler(peers.TakeToken, self.workspace_tokens.answer)
        server.register_handler(peers.Activate, self.order_executor.activate)
        self.node.start()
        self.tasks = [
            eventlet.spawn(self.stager.run),
            eventlet.spawn(self._follow_configuration),
        ]

    def stop(self, linger_ms: int = 0) -> None:
        """Stop immediately, without waiting for running attempts.

        Parameters
        ----------
        linger_ms
            Time limit for sending queued messages, in ms.
        """
        for task in self.tasks:
            task.kill()
        self.stager.stop()
        self.node.stop(linger_ms)

    def shut_down(self) -> bool:
        """Refuse new work, wait for running attempts, then stop.

        Returns
        -------
        bool
            Whether all attempts ended within ``settings.grace_s``.
        """
        self.gate.set_refusing(shutting_down=True)
        ended = self.gate.drain(self.settings.grace_s)
        self.stop(SOCKET_LINGER_MS)
        return ended

    def status(self) -> peers.Status:
        """Return the agent's status."""
        gate = self.gate
        return peers.Status(
            host=self.node.me.name,
            zone=self.node.me.zone,
            service=self.service,
            incarnation=self.node.incarnation,
            gate=gate.reported_state,
            version=gate.version,
            staged=self.stager.staged(),
            running=len(gate.running),
            slots=gate.slots,
            revision=self.node.store.revision,
            progress=self.stager.progress,
            waiting=self.order_executor.waiting or self.stager.waiting,
            news=self.crash_log.news,
            crashes=self.crash_log.recent_crashes(),
            findings=self.crash_log.findings(),
        )

    def _answer_status(self, inbound: peers.InboundMessage) -> None:
        request = inbound.message
        self.crash_log.record_findings(request.findings)
        if request.wait_s > 0:
            self.gate.wait_for_change(
                request.gate,
                request.version,
                request.wait_s,
                lambda: self.crash_log.news != request.news,
            )
        inbound.reply(self.status())

    def _follow_configuration(self) -> None:
        while True:
            try:
                self._apply_service()
            except errors.ZinniadykeError as error:
                LOG.info("engine", extra={"error": error.message})
            self.node.store.wait_for_newer(
                self.node.store.revision, SERVICE_CHECK_INTERVAL_S
            )

    def _apply_service(self) -> None:
        service = self.node.configuration.get("service", self.service)
        if service is None:
            return
        self.gate.slots = service.slots
        self.gate.set_refusing(leaving=self._is_leaving())
        self.attempt_runner.verifies_after_run = self._needs_verification(
            service
        )
        if service.kind is objects.ServiceKind.PLAIN:
            if self.gate.state is peers.GateState.CLOSED:
                self.client.state()
                self.gate.open("")
        elif not self.engine_watch_task:
            self.engine_watch_task = eventlet.spawn(self.engine_watch.run)
            self.tasks.append(self.engine_watch_task)

    def _is_leaving(self) -> bool:
        target = self.node.configuration.get("target", self.node.me.name)
        if target is not None and target.drained:
            return True
        own_records = [
            h for h in self.node.sync.hosts if h.name == self.node.me.name
        ]
        return any(h.state is platform.HostState.LEAVING for h in own_records)

    def _needs_verification(self, service: objects.Service) -> bool:
        """Return whether to verify the loaded version after each run.

        An engine that does not check fencing numbers may accept a load
        from a former agent.
        """
        is_model = service.kind is objects.ServiceKind.MODEL
        return is_model and not service.checks_fencing
