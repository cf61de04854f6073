"""Grants retries within the part of the budget that this entry has."""

from collections.abc import Callable
import dataclasses
import logging
import math
import time

from zinniadyke import ids
from zinniadyke import requests
from zinniadyke import settings
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

# Part of the configured retry budget that is used.
RETRY_BUDGET_SHARE = 0.9
# Shortest time between log lines about one service's retries.
LOG_INTERVAL_S = 1.0


@dataclasses.dataclass
class _Counts:
    """Retries of a service since the last log line."""

    granted: int = 0
    denied: int = 0
    logged_at: float = float("-inf")


class RetryBudgets:
    """Grants retries within the budget that all entries share.

    Parameters
    ----------
    count_entries
        Returns how many entries share the budget.
    """

    def __init__(
        self,
        *,
        bounds: settings.BoundsSection,
        count_entries: Callable[[], int],
    ) -> None:
        """Start without services."""
        self.bounds = bounds
        self.count_entries = count_entries
        self.started_at = time.monotonic()
        self.budgets: dict[ids.ServiceName, requests.RetryBudget] = {}
        self.counts: dict[ids.ServiceName, _Counts] = {}

    def deposit(self, service: ids.ServiceName) -> None:
        """Add what a new request of the service allows."""
        self._budget(service).deposit()

    def allows(self, service: ids.ServiceName) -> bool:
        """Whether a retry would be granted now."""
        return self._budget(service).allows()

    def withdraw(self, service: ids.ServiceName) -> bool:
        """Take one retry; return False if none is left."""
        granted = self._budget(service).withdraw()
        metric = telemetry.Metric.RETRIES_DENIED
        if granted:
            metric = telemetry.Metric.ATTEMPTS_REPEATED
        telemetry.count(metric)
        self._log(service, granted=granted)
        return granted

    def _log(self, service: ids.ServiceName, *, granted: bool) -> None:
        counts = self.counts.setdefault(service, _Counts())
        counts.granted += granted
        counts.denied += not granted
        now = time.monotonic()
        if now < counts.logged_at + LOG_INTERVAL_S:
            return
        budget = self._budget(service)
        LOG.info(
            "retries",
            extra={
                "service": service,
                "granted": counts.granted,
                "denied": counts.denied,
                "balance": round(budget.balance, 1),
                "max_balance": round(budget.max_balance, 1),
                "entries": self.count_entries(),
            },
        )
        self.counts[service] = _Counts(logged_at=now)

    def _budget(self, service: ids.ServiceName) -> requests.RetryBudget:
        if service not in self.budgets:
            self.budgets[service] = requests.RetryBudget(
                ratio=self.bounds.retry_ratio * RETRY_BUDGET_SHARE,
                stock=math.inf,
                window_s=self.bounds.retry_window_s,
                unused_since=self.started_at,
            )
        budget = self.budgets[service]
        budget.set_max_balance(
            self.bounds.retry_extra * RETRY_BUDGET_SHARE / self.count_entries()
        )
        return budget
