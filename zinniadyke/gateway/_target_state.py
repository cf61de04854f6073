"""What an entry knows of one target's load and health."""

import random
import time

from zinniadyke import directory

# A load report that is older than this says nothing any more. Agents report
# at least every 0.3 s.
REPORT_MAX_AGE_S = 4.0
# Requests that may wait inside an engine beyond its slots.
MAX_ENGINE_QUEUE = 0
# Rest of a target after a failure in a row; doubles with each up to the
# second figure.
EJECTION_MIN_S = 0.5
EJECTION_MAX_S = 4.0
# Failures in a row until a target rests.
FAILURES_TO_EJECT = 2
# A target that was found replaced is not asked for this long; its
# registration lapses within some seconds.
REPLACED_BACKOFF_S = 3.0


class TargetState:
    """Load and health of a target, as this entry sees them.

    Attributes
    ----------
    in_flight
        Requests of this entry that the target has not ended.
    reported_requests
        Requests that run or wait there for all callers, as last told.
    in_flight_at_report
        ``in_flight`` when that was told.
    weights
        Versions that the target's agent tells; newer than the registry.
    entries
        Entries that send requests to the target.
    slot_share
        Of the places that were free then, those that this entry may take.
    switching
        Whether it takes nothing new because it changes its weights.
    outdated
        Whether a target that started later is registered at the address.
    switches_at
        Monotonic time at which it is going to change its weights, which
        cuts what runs there.
    """

    def __init__(self, *, target: directory.Target) -> None:
        """Start with nothing known but the registration."""
        self.target = target
        self.in_flight = 0
        self.reported_requests = 0
        self.in_flight_at_report = 0
        self.reported_at = float("-inf")
        self.entries = 1
        self.slot_share = 0
        self.weights: dict | None = None
        self.switching = False
        self.switches_at = float("inf")
        self.consecutive_failures = 0
        self.ejected_until = float("-inf")
        self.outdated = False
        self.replaced_until = float("-inf")

    def record_load(self, running: int, waiting: int) -> None:
        """Take a report of the requests at the target."""
        self.reported_requests = running + waiting
        self.in_flight_at_report = self.in_flight
        self.reported_at = time.monotonic()
        self.slot_share = _draw_slot_share(
            self.request_capacity - self.reported_requests, self.entries
        )

    def record_success(self) -> None:
        """Count a request that the target answered."""
        self.consecutive_failures = 0
        self.ejected_until = float("-inf")

    def record_failure(self) -> bool:
        """Count a broken request; True if the target rests from now on."""
        self.consecutive_failures += 1
        if self.consecutive_failures < FAILURES_TO_EJECT:
            return False
        ejection_s = EJECTION_MIN_S * 2 ** (
            self.consecutive_failures - FAILURES_TO_EJECT
        )
        self.ejected_until = time.monotonic() + min(ejection_s, EJECTION_MAX_S)
        return True

    def eject(self, seconds: float) -> None:
        """Send the target nothing for some time."""
        self.ejected_until = max(
            self.ejected_until, time.monotonic() + seconds
        )

    def mark_replaced(self) -> None:
        """Take in that another target has the address by now."""
        self.replaced_until = time.monotonic() + REPLACED_BACKOFF_S

    @property
    def replaced(self) -> bool:
        """Whether another target has the address."""
        return self.outdated or time.monotonic() < self.replaced_until

    @property
    def ejected(self) -> bool:
        """Whether the target is left alone after failures."""
        return time.monotonic() < self.ejected_until

    @property
    def request_capacity(self) -> int:
        """Requests at the target at which it has no place left."""
        return self.target.slots + MAX_ENGINE_QUEUE

    @property
    def free_slots(self) -> int:
        """Requests that this entry may send there now.

        All entries see the same free places; each takes its share of them,
        and those that its own requests leave.
        """
        if time.monotonic() - self.reported_at > REPORT_MAX_AGE_S:
            return self.request_capacity // self.entries - self.in_flight
        return self.slot_share + self.in_flight_at_report - self.in_flight

    @property
    def load(self) -> int:
        """Estimate of the requests at the target, of all callers."""
        if time.monotonic() - self.reported_at > REPORT_MAX_AGE_S:
            return self.in_flight
        estimate = (
            self.reported_requests + self.in_flight - self.in_flight_at_report
        )
        return max(estimate, self.in_flight)

    def held_version(self, model: str) -> int:
        """Return the version of a model that it holds; 0 if none."""
        versions = (
            self.target.weights if self.weights is None else self.weights
        )
        return versions.get(model, 0)

    @property
    def holds_weights(self) -> bool:
        """Whether it holds a whole model."""
        versions = (
            self.target.weights if self.weights is None else self.weights
        )
        return bool(versions)


def _draw_slot_share(free: int, entries: int) -> int:
    """Return a part of the free places, rounded at random."""
    if free <= 0:
        return 0
    whole, rest = divmod(free, max(entries, 1))
    return whole + (random.random() * max(entries, 1) < rest)
