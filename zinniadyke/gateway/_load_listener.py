"""Subscribes to the agents' load reports and receives them."""

from collections.abc import Callable
import functools
import logging
import socket
import time

import eventlet
from eventlet.green import socket as green_socket
import msgspec

from zinniadyke import directory
from zinniadyke.gateway import _cold_source
from zinniadyke.gateway import _reservation
from zinniadyke.gateway import _target_table
from zinniadyke import green_sockets
from zinniadyke import reports
from zinniadyke import telemetry
from zinniadyke import uptime

LOG = logging.getLogger(__name__)

# Agents stop reporting to entries that do not renew their subscription.
SUBSCRIBE_PERIOD_S = 0.5
MAX_DATAGRAM_BYTES = 2048
# Pause after a datagram that could not be received or decoded.
RECEIVE_RETRY_S = 0.02
MS_PER_S = 1000.0


class LoadListener:
    """Keeps the loads in the target table up to date.

    Parameters
    ----------
    port
        UDP port of the agents and of this socket.
    on_report
        Called after each report.

    Attributes
    ----------
    named
        Signals that the desired weights or the evacuations have changed, so
        that agents learn of them at once.
    last_desired_weights, last_evacuations
        Desired weights and evacuations when ``named`` was last signalled.
    own_demand
        Returns this entry's demand for targets by priority, by address;
        only of targets whose service has routes of different priority.
    handlers
        Handlers of other messages, by type; called with the message and the
        host that sent it.
    """

    def __init__(
        self,
        *,
        name: str,
        region: str,
        ip: str,
        port: int,
        view: directory.View,
        target_table: _target_table.TargetTable,
        on_report: Callable[[], None],
    ) -> None:
        """Bind the socket and watch for new desired versions."""
        self.name = name
        self.region = region
        self.port = port
        self.view = view
        self.target_table = target_table
        self.on_report = on_report
        self.sock = green_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((ip, port))
        self.named = directory.Signal()
        self.last_desired_weights: dict = {}
        self.last_evacuations: directory.Evacuations | None = None
        self.handlers: dict[type, Callable] = {}
        self.own_demand: Callable[[], dict[str, reports.DemandByPriority]] = (
            dict
        )
        self.subscribed_demand: dict[str, reports.DemandByPriority] = {}
        view.on_change.append(self._on_view_change)

    def subscribe(self) -> None:
        """Subscribe to the reports of the agents of used targets, forever."""
        while True:
            message = reports.Subscribe(
                entry=self.name,
                named=self.view.desired_weights_ages_ms(),
                region=self.region,
                evacuations=reports.describe_evacuations(self.view),
            )
            self.subscribed_demand = self.own_demand()
            by_host = {
                address.rpartition(":")[0]: demand
                for address, demand in self.subscribed_demand.items()
            }
            data = reports.encode(message)
            for host_ip in sorted(self.target_table.used_hosts()):
                if host_ip in by_host:
                    self.send(
                        msgspec.structs.replace(
                            message, demand=by_host[host_ip]
                        ),
                        host_ip,
                    )
                else:
                    self._send(data, host_ip)
            self._gauge_slowness()
            self.named.wait(SUBSCRIBE_PERIOD_S)

    def _gauge_slowness(self) -> None:
        """Publish the mean slowness of each service's used targets."""
        now = time.monotonic()
        for service, states in self.target_table.used.items():
            factors = [
                s.slowness.factor(now)
                for s in states
                if s.slowness is not None
            ]
            if factors:
                telemetry.gauge(
                    telemetry.Metric.HOST_SLOWNESS,
                    sum(factors) / len(factors),
                    label=service,
                )

    def send(self, message: reports.Message, host_ip: str) -> None:
        """Send a message to the agent on a host."""
        self._send(reports.encode(message), host_ip)

    def _send(self, data: bytes, host_ip: str) -> None:
        try:
            self.sock.sendto(data, (host_ip, self.port))
        except OSError as error:
            LOG.debug(
                "cannot send datagram",
                extra={"host": host_ip, "reason": str(error)},
            )

    def _on_view_change(self) -> None:
        if (
            self.view.desired_weights != self.last_desired_weights
            or self.view.evacuations is not self.last_evacuations
        ):
            self.last_desired_weights = dict(self.view.desired_weights)
            self.last_evacuations = self.view.evacuations
            self.named.send()

    def receive(self) -> None:
        """Receive and apply reports, forever."""
        while True:
            try:
                data, (host_ip, _) = green_sockets.receive(
                    self.sock,
                    functools.partial(
                        self.sock.fd.recvfrom, MAX_DATAGRAM_BYTES
                    ),
                    timeout_s=None,
                )
                report = reports.decode(data)
            except (OSError, ValueError) as error:
                LOG.warning(
                    "load report not read", extra={"reason": str(error)}
                )
                eventlet.sleep(RECEIVE_RETRY_S)
                continue
            try:
                if isinstance(report, reports.LoadReport):
                    self._apply_report(report)
                elif type(report) in self.handlers:
                    self.handlers[type(report)](report, host_ip)
            except Exception:
                # One report must not end the reading of all others.
                LOG.exception("load report failed", extra={"host": host_ip})

    def _apply_report(self, report: reports.LoadReport) -> None:
        reports.learn_desired_weights(self.view, report.named)
        reports.learn_evacuations(self.view, report.evacuations)
        leaving = []
        for state in self.target_table.by_address.get(report.address, ()):
            target = state.target
            if _starts_differ(report.born_ms, target.born_ms):
                if report.born_ms > target.born_ms:
                    # Requests to this start may reach the next one, if that
                    # keeps its id.
                    state.record_restart(report.cold_ms / MS_PER_S or None)
                continue
            state.agent_reported_at = time.monotonic()
            if report.sent_ms:
                state.report_delay.record(
                    report.sent_ms / MS_PER_S, uptime.now_s()
                )
            state.entries = max(report.entries, 1)
            state.local_entries = report.local_entries
            state.record_demand(
                report.demand,
                _reservation.slot_part(
                    self.subscribed_demand.get(report.address, {}),
                    report.demand,
                    state.entries,
                ),
            )
            state.record_load(report.running, report.waiting)
            state.switching = report.switching
            state.switches_at = (
                float("inf")
                if report.switch_in_ms is None
                else time.monotonic() + report.switch_in_ms / MS_PER_S
            )
            state.weights = report.weights
            state.record_agent_limit(report.limit_per_s)
            state.record_cold(
                report.cold_ms / MS_PER_S, _cold_source.ColdSource.AGENT
            )
            if report.pace is not None:
                state.record_slowness(report.pace)
            state.record_memory(
                report.kv_used,
                report.kv_total,
                self.target_table.layers(target.service),
            )
            if report.leaving:
                leaving.append(target)
            self.on_report()
        for target in leaving:
            self.view.mark_leaving(target, source="agent")


def _starts_differ(one_ms: int, other_ms: int) -> bool:
    """Whether two start times differ; 0 is an unknown one."""
    return bool(one_ms and other_ms) and one_ms != other_ms
