"""Load and health of one target, as known to an entry."""

import logging
import random
import time

from zinniadyke import directory
from zinniadyke.gateway import _host_figures
from zinniadyke.gateway import _kv_memory
from zinniadyke.gateway import _report_delay
from zinniadyke.gateway import _slowness
from zinniadyke.gateway import _token_holder
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

# Older load reports are ignored. Agents report at least every 0.3 s.
REPORT_MAX_AGE_S = 4.0
# A target whose agent has been silent for this long may be down: two reports
# are missing. The registration of one that crashed lapses only after seconds.
SILENT_AFTER_S = 0.8
# Requests that may queue inside an engine in addition to its slots.
MAX_ENGINE_QUEUE = 0
# First ejection time; it doubles with each further consecutive failure.
EJECTION_MIN_S = 0.5
EJECTION_MAX_S = 4.0
# Consecutive failures that eject a target.
FAILURES_TO_EJECT = 2
# Time without requests to a target whose address now belongs to another;
# its registration expires within a few seconds.
REPLACED_BACKOFF_S = 3.0
# An agent's report without a limit may be older than an answer with one by
# this much.
REPORT_LAG_S = 0.5


class TargetState:
    """Load and health of a target, as known to this entry.

    Attributes
    ----------
    in_flight
        Requests from this entry that have not completed.
    reported_requests
        Requests of all entries that run or wait there, as last reported.
    in_flight_at_report
        ``in_flight`` when the last report arrived.
    agent_reported_at
        Monotonic time of the last report of the target's agent; None before
        the first.
    report_delay
        How long the agent's reports wait in the host's link.
    weights
        Version held of each model, as reported by the target's agent; more
        recent than the registration. None before the first report.
    entries
        Number of entries that send requests to the target.
    local_entries
        Number of those in the target's region.
    slot_share
        Part of the slots free at the last report that this entry may use.
    switching
        Whether the target rejects new requests while it switches weights.
    outdated
        Whether a later-started target is registered at the same address.
    limit_per_s
        Requests a second that the target takes from all entries together;
        None if it names no limit.
    tokens
        Tokens for requests under that limit; None if it names no limit.
    limit_named_at
        Monotonic time at which it was last named.
    agent_names_limit
        Whether the agent's last report named a limit.
    unlisted_at
        Monotonic time at which its registration was last missing.
    closed_until
        Monotonic time until which the target wants no request from this
        host.
    switches_at
        Monotonic time at which the target will switch its weights, which
        interrupts its running requests; infinite if none is planned.
    host
        Slowness and free KV cache; None if the target has reported neither.
    """

    def __init__(self, *, target: directory.Target) -> None:
        """Start from the registration, without a load report."""
        self.target = target
        self.in_flight = 0
        self.reported_requests = 0
        self.in_flight_at_report = 0
        self.reported_at = float("-inf")
        self.agent_reported_at: float | None = None
        self.report_delay = _report_delay.ReportDelay()
        self.entries = 1
        self.local_entries = 0
        self.slot_share = 0
        self.weights: dict | None = None
        self.switching = False
        self.switches_at = float("inf")
        self.consecutive_failures = 0
        self.ejected_until = float("-inf")
        self.outdated = False
        self.replaced_until = float("-inf")
        self.closed_until = float("-inf")
        self.limit_per_s: float | None = None
        self.tokens: _token_holder.TokenHolder | None = None
        self.limit_named_at = float("-inf")
        self.agent_names_limit = False
        self.unlisted_at = float("-inf")
        self.host: _host_figures.HostFigures | None = None

    def record_load(self, running: int, waiting: int) -> None:
        """Record a load report and draw this entry's share of free slots."""
        self.reported_requests = running + waiting
        if self.host is not None:
            self.host.record_load(waiting)
        self.in_flight_at_report = self.in_flight
        self.reported_at = time.monotonic()
        self.slot_share = _draw_slot_share(
            self.request_capacity - self.reported_requests, self.entries
        )

    def record_limit(self, limit_per_s: float) -> None:
        """Record that the target names a limit."""
        self.limit_named_at = time.monotonic()
        self._set_limit(limit_per_s)

    def record_no_limit(self, asked_at: float) -> None:
        """Record that an answer names no limit.

        Parameters
        ----------
        asked_at
            Monotonic time before which the target did not give the answer.
        """
        if asked_at > self.limit_named_at:
            self._set_limit(None)

    def record_agent_limit(self, limit_per_s: float | None) -> None:
        """Record the limit in a report of the target's agent."""
        if limit_per_s is not None:
            self.record_limit(limit_per_s)
        elif self.agent_names_limit:
            self.record_no_limit(time.monotonic() - REPORT_LAG_S)
        # A report that was too early to end the limit leaves that to the next.
        self.agent_names_limit = limit_per_s is not None or (
            self.agent_names_limit and self.limit_per_s is not None
        )

    def _set_limit(self, limit_per_s: float | None) -> None:
        if limit_per_s == self.limit_per_s:
            return
        self.limit_per_s = limit_per_s
        if limit_per_s is None:
            self.tokens = None
        elif self.tokens is None:
            self.tokens = _token_holder.TokenHolder(limit_per_s=limit_per_s)
        else:
            self.tokens.limit_per_s = limit_per_s
        LOG.info(
            "target limits requests",
            extra={
                "target": self.target.id,
                "service": self.target.service,
                "limit_per_s": limit_per_s,
                "entries": self.entries,
            },
        )
        telemetry.count(
            telemetry.Metric.TARGET_LIMITS, label=self.target.service
        )

    def record_slowness(self, factor: float) -> None:
        """Record by which factor work takes longer on the target's host.

        Parameters
        ----------
        factor
            1.0 is usual. Absurd figures are logged once and ignored.
        """
        figures = self._host_figures()
        if not _slowness.is_plausible(factor):
            self._log_absurd_figure("slowness", factor)
        elif figures.slowness is None:
            figures.slowness = _slowness.Slowness(factor)
        else:
            figures.slowness.record(factor)

    def record_memory(self, kv_used: int, kv_total: int, layers: int) -> None:
        """Record the used KV cache and its capacity, in tokens x layers.

        Parameters
        ----------
        kv_total
            0 if unknown, which has no effect.
        layers
            Layers of the model.
        """
        if not kv_total:
            return
        figures = self._host_figures()
        if not 0 <= kv_used <= kv_total:
            self._log_absurd_figure("kv_used", kv_used)
            return
        if figures.kv_memory is None:
            figures.kv_memory = _kv_memory.KvMemory()
        figures.kv_memory.record_report((kv_total - kv_used) / max(layers, 1))

    def record_sent(self, kv_tokens: int) -> None:
        """Record a sent request and the tokens that it may hold."""
        if self.host is not None:
            self.host.record_sent(kv_tokens)

    @property
    def kv_free_tokens(self) -> float | None:
        """Tokens that fit into the free KV cache; None if unknown."""
        if self.host is None or self.host.kv_memory is None:
            return None
        return self.host.kv_memory.free_tokens(time.monotonic())

    @property
    def slowness(self) -> _slowness.Slowness | None:
        """How much longer work takes on the host; None if not reported."""
        return None if self.host is None else self.host.slowness

    def _host_figures(self) -> _host_figures.HostFigures:
        if self.host is None:
            self.host = _host_figures.HostFigures()
        return self.host

    def _log_absurd_figure(self, name: str, value: float) -> None:
        if self.host.absurd_figure_logged:
            return
        self.host.absurd_figure_logged = True
        LOG.warning(
            "absurd figure ignored",
            extra={
                "target": self.target.id,
                "service": self.target.service,
                "figure": name,
                "value": value,
            },
        )

    def record_success(self) -> None:
        """Reset the failure count and end an ejection."""
        self.consecutive_failures = 0
        self.ejected_until = float("-inf")

    def record_failure(self) -> bool:
        """Count a failure; return whether it ejected the target."""
        self.consecutive_failures += 1
        if self.consecutive_failures < FAILURES_TO_EJECT:
            return False
        ejection_s = EJECTION_MIN_S * 2 ** (
            self.consecutive_failures - FAILURES_TO_EJECT
        )
        self.ejected_until = time.monotonic() + min(ejection_s, EJECTION_MAX_S)
        return True

    def eject(self, seconds: float) -> None:
        """Eject the target for at least the given time."""
        self.ejected_until = max(
            self.ejected_until, time.monotonic() + seconds
        )

    def mark_replaced(self) -> None:
        """Record that another target responded at the address."""
        self.replaced_until = time.monotonic() + REPLACED_BACKOFF_S

    def close_for(self, seconds: float) -> None:
        """Send nothing to the target for a time that it asked for."""
        self.closed_until = max(self.closed_until, time.monotonic() + seconds)

    def copy_restrictions(self, other: "TargetState") -> None:
        """Take over an earlier state's limit and the time of its pause."""
        self.closed_until = other.closed_until
        self.limit_per_s = other.limit_per_s
        self.limit_named_at = other.limit_named_at
        self.tokens = other.tokens

    @property
    def silent(self) -> bool:
        """Whether the target's agent has stopped reporting."""
        return self.agent_reported_at is not None and (
            time.monotonic() > self.agent_reported_at + SILENT_AFTER_S
        )

    @property
    def closed(self) -> bool:
        """Whether the target wants no request from this host now."""
        return time.monotonic() < self.closed_until

    @property
    def replaced(self) -> bool:
        """Whether another target is known to use the address."""
        return self.outdated or time.monotonic() < self.replaced_until

    @property
    def ejected(self) -> bool:
        """Whether the target is ejected after failures."""
        return time.monotonic() < self.ejected_until

    @property
    def request_capacity(self) -> int:
        """Number of requests at which the target is full."""
        return self.target.slots + MAX_ENGINE_QUEUE

    @property
    def free_slots(self) -> int:
        """Number of requests that this entry may send now.

        All entries see the same free slots in a report, so each uses only
        its share, plus the slots that its own requests free later.
        """
        if time.monotonic() - self.reported_at > REPORT_MAX_AGE_S:
            return self.request_capacity // self.entries - self.in_flight
        return self.slot_share + self.in_flight_at_report - self.in_flight

    @property
    def within_limit(self) -> bool:
        """Whether the target's limit allows one more request now."""
        return self.tokens is None or self.tokens.count > 0

    @property
    def load(self) -> int:
        """Estimated number of requests at the target, from all entries."""
        if time.monotonic() - self.reported_at > REPORT_MAX_AGE_S:
            return self.in_flight
        estimate = (
            self.reported_requests + self.in_flight - self.in_flight_at_report
        )
        return max(estimate, self.in_flight)

    def held_version(self, model: str) -> int:
        """Return the version of a model held by the target; 0 if none."""
        versions = (
            self.target.weights if self.weights is None else self.weights
        )
        return versions.get(model, 0)

    @property
    def holds_weights(self) -> bool:
        """Whether the target holds a complete model."""
        versions = (
            self.target.weights if self.weights is None else self.weights
        )
        return bool(versions)


def _draw_slot_share(free: int, entries: int) -> int:
    """Return an equal share of the free slots, rounded randomly.

    Random rounding makes the shares of all entries add up to the free slots
    on average.
    """
    if free <= 0:
        return 0
    whole, rest = divmod(free, max(entries, 1))
    return whole + (random.random() * max(entries, 1) < rest)
