"""The agent: gate, order taker and weight peer of one target."""

import logging

import eventlet

from zinniadyke.agent import _admission_gate
from zinniadyke.agent import _chunk_server
from zinniadyke.agent import _engine_watch
from zinniadyke.agent import _fence
from zinniadyke.agent import _order_executor
from zinniadyke.agent import _runner
from zinniadyke.agent import _stager
from zinniadyke import control
from zinniadyke import engine
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import objects
from zinniadyke import peers
from zinniadyke import platform
from zinniadyke.settings import AgentSettings
from zinniadyke import weights

LOG = logging.getLogger(__name__)

FOLLOW_S = 0.2
LINGER_MS = 500
KIB = 1 << 10
MIB = 1 << 20


class Agent:
    """The process beside one target.

    Parameters
    ----------
    settings
        Its settings.
    platform_url
        Base URL of the platform.
    """

    def __init__(self, *, settings: AgentSettings, platform_url: str) -> None:
        """Bind the peer socket; ``start`` begins the work."""
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
        self.runner = _runner.Runner(
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
        self.watch = _engine_watch.EngineWatch(
            gate=self.gate,
            fence=self.fence,
            stager=self.stager,
            client=self.client,
            busy=self.order_executor.lock.locked,
        )
        self.runner.verify_version = self.watch.verify_version
        self.watch_task: eventlet.greenthread.GreenThread | None = None
        self.tasks: list[eventlet.greenthread.GreenThread] = []

    def start(self) -> None:
        """Begin to answer peers and to follow the configuration."""
        server = self.node.server
        server.handle(peers.Run, self.runner.run)
        server.handle(peers.CloseAttempt, self.runner.close)
        server.handle(peers.GetStatus, self._answer_status)
        server.handle(peers.GetChunk, self.chunks.answer)
        server.handle(peers.Activate, self.order_executor.activate)
        self.node.start()
        self.tasks = [
            eventlet.spawn(self.stager.run),
            eventlet.spawn(self._follow),
        ]

    def stop(self, linger_ms: int = 0) -> None:
        """Stop at once, as a process that dies would."""
        for task in self.tasks:
            task.kill()
        self.stager.stop()
        self.node.stop(linger_ms)

    def shut_down(self) -> bool:
        """Refuse new work, let work in progress end, then stop.

        Returns
        -------
        bool
            Whether all work ended within the grace.
        """
        self.gate.refuse(shutting_down=True)
        ended = self.gate.drain(self.settings.grace_s)
        self.stop(LINGER_MS)
        return ended

    def status(self) -> peers.Status:
        """Return the agent's status."""
        gate = self.gate
        return peers.Status(
            host=self.node.me.name,
            zone=self.node.me.zone,
            service=self.service,
            incarnation=self.node.incarnation,
            gate=gate.shown,
            version=gate.version,
            staged=self.stager.staged(),
            running=len(gate.running),
            slots=gate.slots,
            revision=self.node.store.revision,
            progress=self.stager.progress,
            waiting=self.order_executor.waiting or self.stager.waiting,
        )

    def _answer_status(self, inbound: peers.Inbound) -> None:
        question = inbound.message
        if question.wait_s > 0:
            self.gate.wait_change(
                question.gate, question.version, question.wait_s
            )
        inbound.reply(self.status())

    def _follow(self) -> None:
        while True:
            try:
                self._apply_service()
            except errors.ZinniadykeError as error:
                LOG.info("engine", extra={"error": error.message})
            self.node.store.wait_for_newer(self.node.store.revision, FOLLOW_S)

    def _apply_service(self) -> None:
        service = self.node.configuration.get("service", self.service)
        if service is None:
            return
        self.gate.slots = service.slots
        self.gate.refuse(leaving=self._leaving())
        self.runner.verifies = self._needs_read_back(service)
        if service.kind is objects.ServiceKind.PLAIN:
            if self.gate.state is peers.GateState.CLOSED:
                self.client.state()
                self.gate.open("")
        elif not self.watch_task:
            self.watch_task = eventlet.spawn(self.watch.run)
            self.tasks.append(self.watch_task)

    def _leaving(self) -> bool:
        target = self.node.configuration.get("target", self.node.me.name)
        if target is not None and target.drained:
            return True
        mine = [h for h in self.node.sync.hosts if h.name == self.node.me.name]
        return any(h.state is platform.HostState.LEAVING for h in mine)

    def _needs_read_back(self, service: objects.Service) -> bool:
        """Return whether a former agent could still load the engine."""
        is_model = service.kind is objects.ServiceKind.MODEL
        return is_model and not service.checks_fencing
