"""Load and health of one target, as known to an entry."""

import logging
import random
import time

from zinniadyke import directory
from zinniadyke.gateway import _cold_source
from zinniadyke.gateway import _host_figures
from zinniadyke.gateway import _kv_memory
from zinniadyke.gateway import _report_delay
from zinniadyke.gateway import _slowness
from zinniadyke.gateway import _token_holder
from zinniadyke import requests
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

# Older load reports are ignored. Agents report at least every 0.3 s.
REPORT_MAX_AGE_S = 4.0
# Subscriptions, and with them the demand of an entry, lapse after this time.
DEMAND_MAX_AGE_S = 2.0
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
    slot_part
        Part of the free slots that this entry may use; None for an equal
        one.
    demand
        Requests a second that arrive for the target at all entries, by
        priority of their route, as last reported.
    switching
        Whether the target rejects new requests while it switches weights.
    outdated
        Whether a later-started target is registered at the same address.
    evacuated
        Whether the operator has evacuated the target's zone, as of the
        table's last refresh.
    excluded
        Whether the target is leaving or evacuated, as of the last refresh.
    limit_per_s
        Requests a second that the target takes from all entries together;
        None if it names no limit.
    cold_limit
        Limit of the target while it is cold; None if it has none.
    cold_ends
        Monotonic time until which the target is cold, as each source said.
    registered_cold_s
        Time for which the registration says that it is cold.
    tokens
        Tokens for requests under the lower of both limits; None without one.
        They change only in ``update_limit`` and methods that call it.
    limit_named_at
        Monotonic time at which it was last named.
    agent_names_limit
        Whether the agent's last report named a limit.
    unlisted_at
        Monotonic time at which its registration was last missing.
    closed_until
        Monotonic time until which the target wants no request from this
        host.
    load_header_logged
        Whether an unusable figure of the target's load has been logged.
    switches_at
        Monotonic time at which the target will switch its weights, which
        interrupts its running requests; infinite if none is planned.
    host
        Slowness and free KV cache; None if no slowness was reported.
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
        self.slot_part: float | None = None
        self.demand: dict[int, float] = {}
        self.weights: dict | None = None
        self.switching = False
        self.switches_at = float("inf")
        self.consecutive_failures = 0
        self.ejected_until = float("-inf")
        self.outdated = False
        self.evacuated = False
        self.excluded = target.leaving
        self.replaced_until = float("-inf")
        self.closed_until = float("-inf")
        self.limit_per_s: float | None = None
        self.cold_limit: requests.ColdLimit | None = None
        self.cold_ends: dict[_cold_source.ColdSource, float] = {}
        self.registered_cold_s: float | None = None
        self.tokens: _token_holder.TokenHolder | None = None
        self.limit_named_at = float("-inf")
        self.agent_names_limit = False
        self.unlisted_at = float("-inf")
        self.load_header_logged = False
        self.host: _host_figures.HostFigures | None = None

    def record_load(self, running: int, waiting: int) -> None:
        """Record a load report and draw this entry's share of free slots."""
        self.reported_requests = running + waiting
        if self.host is not None:
            self.host.record_load(waiting)
        self.in_flight_at_report = self.in_flight
        self.reported_at = time.monotonic()
        self.slot_share = _draw_slot_share(
            self.request_capacity - self.reported_requests,
            self.entries,
            self.slot_part,
        )

    def record_demand(
        self, demand: dict[int, float], slot_part: float | None
    ) -> None:
        """Record the reported demand; the load report follows."""
        self.demand = demand
        self.slot_part = slot_part

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
        self.update_limit()
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

    def set_cold_limit(self, limit: requests.ColdLimit | None) -> None:
        """Set the limit that holds while the target is cold."""
        if limit != self.cold_limit:
            self.cold_limit = limit
            self.update_limit()

    def record_cold(
        self, seconds: float, source: _cold_source.ColdSource
    ) -> None:
        """Record for how long the target is cold; 0 if it is not.

        A source replaces what it said before; the latest end of all holds.
        """
        self.cold_ends[source] = time.monotonic() + seconds
        if self.cold_limit is not None:
            self.update_limit()

    def record_restart(self, cold_s: float | None) -> None:
        """Record that the target has started again during traffic.

        Parameters
        ----------
        cold_s
            Time for which it says that it is cold; None if it does not say.
        """
        if cold_s is None and self.cold_limit is not None:
            cold_s = self.cold_limit.restart_s
        if cold_s:
            self.record_cold(cold_s, _cold_source.ColdSource.RESTART)

    def update_limit(self) -> None:
        """Apply the lower of the named limit and the one of a cold target.

        The latter begins and ends with time, so this is called before
        targets are chosen.
        """
        was_cold = self.limited_as_cold
        cold = self.cold_limit if self.may_be_cold else None
        rate_per_s = self.limit_per_s
        if cold is not None:
            rate_per_s = min(
                cold.rate_per_s,
                float("inf") if rate_per_s is None else rate_per_s,
            )
        if rate_per_s is None:
            self.tokens = None
        elif self.tokens is None:
            self.tokens = _token_holder.TokenHolder(
                limit_per_s=rate_per_s, cold=cold
            )
        else:
            self.tokens.set_limit(rate_per_s, cold)
        if was_cold != self.limited_as_cold:
            self._log_cold()

    def _log_cold(self) -> None:
        fields = {"target": self.target.id, "service": self.target.service}
        if not self.limited_as_cold:
            LOG.info("target is no longer cold", extra=fields)
            return
        source = _cold_source.ColdSource.SILENCE
        if self.cold:
            source = max(self.cold_ends, key=self.cold_ends.get)
        fields["source"] = source.value
        fields["s"] = round(max(self.cold_until - time.monotonic(), 0.0), 3)
        LOG.info("target is cold", extra=fields)
        telemetry.count(
            telemetry.Metric.TARGETS_COLD, label=self.target.service
        )

    def record_slowness(self, factor: float) -> None:
        """Record by which factor work takes longer on the target's host.

        Parameters
        ----------
        factor
            1.0 is usual. Absurd figures are logged once and ignored.
        """
        figures = self.ensure_host_figures()
        if not _slowness.is_plausible(factor):
            self._log_absurd_figure("slowness", factor)
        elif figures.slowness is None:
            figures.slowness = _slowness.Slowness(factor)
        else:
            figures.slowness.record(factor)

    def record_memory(self, kv_used: int, kv_total: int, layers: int) -> None:
        """Record the used KV cache and its capacity, in tokens x layers.

        They have no effect before the target has stated its slowness.

        Parameters
        ----------
        kv_total
            0 if unknown, which has no effect.
        layers
            Layers of the model.
        """
        if not kv_total or self.slowness is None:
            return
        figures = self.host
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

    def ensure_host_figures(self) -> _host_figures.HostFigures:
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
        self.cold_limit = other.cold_limit
        self.cold_ends = other.cold_ends
        self.registered_cold_s = other.registered_cold_s
        self.tokens = other.tokens

    @property
    def cold_until(self) -> float:
        """Monotonic time until which the target is cold."""
        return max(self.cold_ends.values(), default=float("-inf"))

    @property
    def cold(self) -> bool:
        """Whether the target has said that it is cold."""
        return time.monotonic() < self.cold_until

    @property
    def may_be_cold(self) -> bool:
        """Whether the target is cold, or may be and this entry cannot know.

        Load: entries that are cut off from an agent, or were suspended, while
        its target restarts.
        """
        return self.cold or self.silent

    @property
    def limited_as_cold(self) -> bool:
        """Whether the limit of a cold target is in force."""
        return self.tokens is not None and self.tokens.cold is not None

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
    def known_demand(self) -> dict[int, float]:
        """Demand for the target; empty if its reports have stopped."""
        if time.monotonic() - self.reported_at > DEMAND_MAX_AGE_S:
            return {}
        return self.demand

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


def _draw_slot_share(free: int, entries: int, part: float | None) -> int:
    """Return a part of the free slots, rounded randomly; equal if None.

    Random rounding makes the shares of all entries add up to the free slots
    on average.
    """
    if free <= 0:
        return 0
    if part is not None:
        return int(free * part + random.random())
    whole, rest = divmod(free, max(entries, 1))
    return whole + (random.random() * max(entries, 1) < rest)
