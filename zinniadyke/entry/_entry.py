"""The entry: HTTP for callers and operators, and rollout controllers."""

import logging
import time

import eventlet
from eventlet import wsgi

from zinniadyke import control
from zinniadyke.entry import _auth
from zinniadyke.entry import _caller_request
from zinniadyke.entry import _http
from zinniadyke.entry import _operators
from zinniadyke.entry import _request_server
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import listening
from zinniadyke import platform
from zinniadyke import rendezvous
from zinniadyke import requests
from zinniadyke.settings import EntrySettings
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

REFRESH_S = 0.2
CONTROL_CANDIDATES = 3
MAX_CONNECTIONS = 4096
URL_LIMIT_BYTES = 4096
IDLE_TIMEOUT_S = 60.0
READINESS_LEAD_S = 1.0
KIB = 1024


class Entry:
    """The process on one entry host.

    Parameters
    ----------
    settings
        Settings of the entry.
    platform_url
        Base URL of the platform.
    """

    def __init__(self, *, settings: EntrySettings, platform_url: str) -> None:
        """Bind the HTTP and peer sockets; ``start`` starts the tasks."""
        self.settings = settings
        self.max_body_bytes = settings.max_body_kib * KIB
        self.stopping = False
        self.node = control.Node(
            me=platform.Host(
                name=ids.HostName(settings.name),
                role=platform.HostRole.ENTRY,
                zone=ids.ZoneName(settings.zone),
                region=settings.region,
                peer=settings.peer,
            ),
            platform_url=platform_url,
            seeds=settings.seeds,
        )
        self.authenticator = _auth.Authenticator(
            admin_tokens=settings.admin_tokens
        )
        self.requests = _request_server.RequestServer(node=self.node)
        self.histograms = requests.Histograms()
        self.operators = _operators.OperatorApi(entry=self)
        self.readiness_withdrawn = False
        self.controllers: dict[str, eventlet.greenthread.GreenThread] = {}
        self.rollout_controllers: dict[str, control.RolloutController] = {}
        self.socket = listening.listen(settings.http)
        self.url = f"http://{listening.address_of(self.socket)}"
        self.tasks: list[eventlet.greenthread.GreenThread] = []
        self.server: eventlet.greenthread.GreenThread | None = None

    @property
    def ready(self) -> bool:
        """Whether the platform's load balancer should send callers here."""
        return self.node.store.revision > 0 and not self.readiness_withdrawn

    def start(self) -> None:
        """Start serving."""
        self.node.start()
        self.server = eventlet.spawn(
            wsgi.server,
            self.socket,
            _http.Application(entry=self),
            log=LOG,
            log_output=False,
            debug=False,
            max_size=MAX_CONNECTIONS,
            url_length_limit=URL_LIMIT_BYTES,
            socket_timeout=IDLE_TIMEOUT_S,
            # Without this, tokens are buffered up to 4 KiB before sending.
            minimum_chunk_size=1,
        )
        self.tasks = [eventlet.spawn(self._refresh)]

    def stop(self) -> None:
        """Stop immediately, like a process that crashes."""
        self.stopping = True
        for task in [*self.tasks, *self.controllers.values()]:
            task.kill()
        for pool in self.requests.pools.values():
            pool.close()
        self.socket.close()
        if self.server:
            self.server.kill()
        self.node.stop()

    def shut_down(self) -> bool:
        """Withdraw readiness, wait for requests in progress, then stop.

        Returns
        -------
        bool
            Whether all requests ended within the grace period.
        """
        self.readiness_withdrawn = True
        eventlet.sleep(READINESS_LEAD_S)
        self.stopping = True
        ended = self._finish_requests()
        self.stop()
        return ended

    def _finish_requests(self) -> bool:
        """Close the listener and wait for requests in progress.

        Returns
        -------
        bool
            Whether they ended within the grace period.
        """
        with eventlet.Timeout(self.settings.grace_s, False):
            try:
                self.server.kill()
                self.server.wait()
            except eventlet.greenlet.GreenletExit:
                return True
            return True
        return False

    def record_request(
        self,
        call: _caller_request.CallerRequest,
        code: errors.ResultCode,
        started_at_s: float,
        version: str = "",
        target: str = "",
    ) -> None:
        """Record the outcome and latency of a request.

        Parameters
        ----------
        started_at_s
            Monotonic time at which the request started, in seconds.
        """
        latency_s = time.monotonic() - started_at_s
        self.histograms.record(call.workspace, call.request_class, latency_s)
        telemetry.count(telemetry.Metric.REQUESTS, label=str(code.number))
        telemetry.timing(
            telemetry.Metric.REQUEST_TIME,
            latency_s,
            label=f"{call.workspace}.{call.request_class}",
        )
        LOG.info(
            "request",
            extra={
                "request_id": call.request_id,
                "workspace": call.workspace,
                "request_class": call.request_class,
                "service": call.service,
                "version": version,
                "target": target,
                "code": code.number,
                "latency_ms": round(latency_s * 1000, 3),
            },
        )

    def _refresh(self) -> None:
        while True:
            try:
                self.requests.refresh()
                self._refresh_controllers()
            except Exception:
                LOG.exception(
                    "refresh of pools and rollout controllers failed"
                )
            self.node.store.wait_for_newer(self.node.store.revision, REFRESH_S)

    def _refresh_controllers(self) -> None:
        wanted = {
            key.name
            for key, _ in self.node.configuration.of_kind("service")
            if self._is_candidate(key.name)
        }
        for name in [n for n in self.controllers if n not in wanted]:
            self.controllers.pop(name).kill()
            del self.rollout_controllers[name]
        for name in wanted - self.controllers.keys():
            controller = control.RolloutController(
                node=self.node, service=ids.ServiceName(name)
            )
            self.rollout_controllers[name] = controller
            self.controllers[name] = eventlet.spawn(controller.run)

    def _is_candidate(self, service: str) -> bool:
        if not self.node.configuration.models_of(service):
            return False
        hosts = self.node.hosts(platform.HostRole.ENTRY)
        ordered = sorted(
            hosts, key=lambda h: rendezvous.weight(service, h.name)
        )
        names = [host.name for host in ordered[:CONTROL_CANDIDATES]]
        return self.node.me.name in names
