"""Reads the target's load and reports it to subscribed entries."""

from collections.abc import Callable
import functools
import logging
import math
import socket
import time

import eventlet
from eventlet.green import socket as green_socket
import msgspec

from zinniadyke import directory
from zinniadyke import errors
from zinniadyke import green_sockets
from zinniadyke import platform
from zinniadyke import reports
from zinniadyke import uptime

LOG = logging.getLogger(__name__)

# Interval between readings of the load, by which entries route requests.
REPORT_INTERVAL_S = 0.1
# Interval while the target has nothing to do.
IDLE_REPORT_INTERVAL_S = 0.3
# An unchanged report is sent again after this time.
RESEND_INTERVAL_S = 0.3
# Entries renew their subscription every 0.5 s; stopped ones expire.
SUBSCRIPTION_TIMEOUT_S = 2.0
MAX_DATAGRAM_BYTES = 2048
# Pause after a datagram that cannot be read.
RETRY_DELAY_S = 0.02
# The target counts as down after this many failed readings in a row.
MAX_CONSECUTIVE_FAILURES = 3
# A switch is announced this long before, so that entries can place streams,
# which take a second or two, on targets where they are not interrupted.
SWITCH_NOTICE_S = 2.0
MS_PER_S = 1000.0
# A higher demand for one target is an error of its sender.
MAX_DEMAND_PER_S = 1e6
# Figures are rounded, so that small changes cause no additional datagrams.
PACE_DECIMALS = 1
KV_STEPS = 64


class LoadReporter:
    """Polls the target and sends its load to subscribed entries.

    Attributes
    ----------
    handlers
        Handlers of datagrams, by message type; called with the message and
        its sender.
    latest
        The target's newest report; None while the target is down.
    on_serving
        Called after each successful reading with whether the target holds
        weights, and with False when the target counts as down.
    evacuations
        Newest evacuations that an entry has reported; None before the first.
    switch_in_s
        Returns the time until the target switches weights, in seconds; None
        if no switch is planned.
    """

    def __init__(
        self,
        *,
        ip: str,
        port: int,
        region: str,
        address: str,
        target: platform.ModelServerClient,
        view: directory.View,
    ) -> None:
        """Bind the socket."""
        self.address = address
        self.target = target
        self.view = view
        self.latest: platform.EngineReport | None = None
        self.on_serving: Callable[[bool], None] = lambda is_serving: None
        self.switch_in_s: Callable[[], float | None] = lambda: None
        self.evacuations: reports.Evacuations | None = None
        self.region = region
        self.subscribers: dict[tuple[str, int], float] = {}
        # Demand of the subscribers that state one.
        self.demand: dict[tuple[str, int], reports.DemandByPriority] = {}
        # Subscribers in this region, or in one that they do not name.
        self.local_subscribers: set[tuple[str, int]] = set()
        self.last_sent: reports.LoadReport | None = None
        self.last_sent_at = float("-inf")
        self.consecutive_failures = 0
        self.handlers: dict[type, Callable] = {
            reports.Subscribe: self._handle_subscription
        }
        self.sock = green_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((ip, port))

    def receive(self) -> None:
        """Receive datagrams and pass them to their handlers, forever."""
        while True:
            try:
                data, sender = green_sockets.receive(
                    self.sock,
                    functools.partial(
                        self.sock.fd.recvfrom, MAX_DATAGRAM_BYTES
                    ),
                    timeout_s=None,
                )
                message = reports.decode(data)
            except (OSError, ValueError) as error:
                LOG.warning(
                    "cannot read datagram", extra={"reason": str(error)}
                )
                eventlet.sleep(RETRY_DELAY_S)
                continue
            handler = self.handlers.get(type(message))
            if handler is None:
                continue
            try:
                handler(message, sender)
            except Exception:
                # One message must not end the reading of all others.
                LOG.exception("message failed", extra={"host": sender[0]})

    def _handle_subscription(
        self, message: reports.Subscribe, sender: tuple[str, int]
    ) -> None:
        self.subscribers[sender] = time.monotonic()
        if message.region in ("", self.region):
            self.local_subscribers.add(sender)
        reports.learn_desired_weights(self.view, message.named)
        if message.demand:
            self.demand[sender] = message.demand
        else:
            self.demand.pop(sender, None)
        self._learn_evacuations(message.evacuations)

    def _learn_evacuations(self, told: reports.Evacuations | None) -> None:
        """Keep the newest evacuations, to pass them on to all entries."""
        known = self.evacuations
        if told is not None and (
            known is None
            or (told.era, told.revision) > (known.era, known.revision)
        ):
            self.evacuations = told

    def run(self) -> None:
        """Read the target's load and send it, forever."""
        while True:
            try:
                self.publish_report(self.target.report(self._layers()))
            except errors.EngineError as error:
                self._note_failure(error)
            except Exception:
                LOG.exception("report of the target failed")
            eventlet.sleep(report_interval_s(self.latest))

    def publish_report(self, report: platform.EngineReport) -> None:
        """Store the target's report and send it to the subscribers."""
        self.consecutive_failures = 0
        if self.latest is None:
            LOG.info("target answers", extra={"orders": report.orders_begun})
        was_cold = self.latest is not None and self.latest.cold_s > 0
        if (report.cold_s > 0) != was_cold:
            LOG.info(
                "target is cold"
                if report.cold_s
                else "target is no longer cold",
                extra={"address": self.address, "s": report.cold_s},
            )
        self.latest = report
        self.on_serving(bool(report.weights))
        self._send_load_report(report, switching=report.order_in_progress)

    def announce_switch(self) -> None:
        """Tell entries that the target takes no new requests from now on."""
        if self.latest is not None:
            self._send_load_report(self.latest, switching=True)

    def _send_load_report(
        self, report: platform.EngineReport, *, switching: bool
    ) -> None:
        self._send_if_due(
            reports.LoadReport(
                address=self.address,
                born_ms=report.born_ms,
                running=report.running,
                waiting=report.waiting,
                entries=max(len(self.subscribers), 1),
                switching=switching,
                switch_in_ms=self._switch_in_ms(),
                weights=report.weights,
                named=self.view.desired_weights_ages_ms(),
                leaving=report.leaving,
                local_entries=len(self.local_subscribers),
                sent_ms=int(uptime.now_s() * MS_PER_S),
                limit_per_s=report.limit_per_s,
                evacuations=self.evacuations,
                cold_ms=math.ceil(report.cold_s * MS_PER_S),
                demand=self._sum_demand(),
                pace=_round_pace(report.pace),
                kv_used=_round_kv(report.kv_used, report.kv_total),
                kv_total=report.kv_total,
            )
        )

    def _sum_demand(self) -> reports.DemandByPriority:
        """Return the demand of all entries whose subscription is valid."""
        oldest = time.monotonic() - SUBSCRIPTION_TIMEOUT_S
        total: reports.DemandByPriority = {}
        for sender, demand in self.demand.items():
            if self.subscribers.get(sender, oldest) <= oldest:
                continue
            for priority, per_s in demand.items():
                if 0 < per_s < MAX_DEMAND_PER_S:
                    total[priority] = total.get(priority, 0.0) + per_s
                else:
                    LOG.warning(
                        "demand ignored",
                        extra={"host": sender[0], "per_s": str(per_s)},
                    )
        return total

    def _switch_in_ms(self) -> int | None:
        remaining_s = self.switch_in_s()
        if remaining_s is None or remaining_s > SWITCH_NOTICE_S:
            return None
        return int(max(remaining_s, 0.0) * MS_PER_S)

    def _send_if_due(self, report: reports.LoadReport) -> None:
        now = time.monotonic()
        if (
            self._is_unchanged(report)
            and now < self.last_sent_at + RESEND_INTERVAL_S
        ):
            return
        self.last_sent, self.last_sent_at = report, now
        self.broadcast(report)

    def broadcast(self, message: reports.Message) -> None:
        """Send a message to all subscribed entries."""
        now = time.monotonic()
        data = reports.encode(message)
        for sender, subscribed_at in list(self.subscribers.items()):
            if now > subscribed_at + SUBSCRIPTION_TIMEOUT_S:
                del self.subscribers[sender]
                self.local_subscribers.discard(sender)
                self.demand.pop(sender, None)
                continue
            self._send_to(data, sender)

    def relay_to_region(
        self, message: reports.Message, sender: tuple[str, int]
    ) -> None:
        """Pass an entry's message on to the other entries of this region."""
        data = reports.encode(message)
        for receiver in self.local_subscribers - {sender}:
            self._send_to(data, receiver)

    def send(
        self, message: reports.Message, receiver: tuple[str, int]
    ) -> None:
        """Send a message to one entry or agent."""
        self._send_to(reports.encode(message), receiver)

    def _send_to(self, data: bytes, receiver: tuple[str, int]) -> None:
        try:
            self.sock.sendto(data, receiver)
        except OSError as error:
            LOG.debug("cannot send datagram", extra={"reason": str(error)})

    def _is_unchanged(self, report: reports.LoadReport) -> bool:
        """Whether nothing of importance differs from the last report sent."""
        last = self.last_sent
        if last is None or (
            (last.switch_in_ms is None) != (report.switch_in_ms is None)
            or bool(last.cold_ms) != bool(report.cold_ms)
            # The target is cold for longer than it said.
            or last.cold_ms < report.cold_ms
        ):
            return False
        if report.pace is None:
            # The figures have an effect only if the target states a slowness.
            last = msgspec.structs.replace(
                last, kv_used=report.kv_used, kv_total=report.kv_total
            )
        return report == msgspec.structs.replace(
            last,
            named=report.named,
            demand=report.demand,
            switch_in_ms=report.switch_in_ms,
            cold_ms=report.cold_ms,
            sent_ms=report.sent_ms,
        )

    def _note_failure(self, error: errors.EngineError) -> None:
        self.consecutive_failures += 1
        if self.consecutive_failures == MAX_CONSECUTIVE_FAILURES:
            LOG.warning(
                "target does not respond", extra={"reason": error.message}
            )
            self.latest = None
            self.on_serving(False)

    def _layers(self) -> int:
        if self.view.configuration is None:
            return 0
        return max(
            (
                s.engine.layers
                for s in self.view.configuration.services.values()
                if s.engine is not None
            ),
            default=0,
        )


def _round_pace(pace: float | None) -> float | None:
    # A figure below a step stays as stated: 0 is absurd.
    return pace and (round(pace, PACE_DECIMALS) or pace)


def _round_kv(used: int, total: int) -> int:
    """Round up to a step, but to no more than the capacity."""
    step = max(total // KV_STEPS, 1)
    return max(min(-(-used // step) * step, total), used)


def report_interval_s(report: platform.EngineReport | None) -> float:
    """Return the time until the next reading of the load, in seconds.

    Load: hundreds of agents, most of whose targets are idle or hold no
    weights yet. An entry knows what it has sent to an idle target itself.
    """
    if report is None or report.order_in_progress:
        return REPORT_INTERVAL_S
    if report.running or report.waiting:
        return REPORT_INTERVAL_S
    return IDLE_REPORT_INTERVAL_S
