"""What an entry knows of one target's load and health."""

import random
import time

from zinniadyke import directory

# A load report that is older than this says nothing any more. Agents report
# at least every 0.3 s.
REPORT_LIFE_S = 4.0
# Requests that may wait inside an engine beyond its slots.
ENGINE_QUEUE = 0
# Rest of a target after a failure in a row; doubles with each up to the
# second figure.
REST_MIN_S = 0.5
REST_MAX_S = 4.0
# Failures in a row until a target rests.
FAILURES_TO_REST = 2
# A target that was found replaced is not asked for this long; its
# registration lapses within some seconds.
REPLACED_S = 3.0


class TargetState:
    """Load and health of a target, as this entry sees them.

    Attributes
    ----------
    in_flight
        Requests of this entry that the target has not ended.
    reported
        Requests that run or wait there for all callers, as last told.
    in_flight_then
        ``in_flight`` when that was told.
    weights
        Versions that the target's agent tells; newer than the registry.
    entries
        Entries that send requests to the target.
    share
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
        self.reported = 0
        self.in_flight_then = 0
        self.reported_at = float("-inf")
        self.entries = 1
        self.share = 0
        self.weights: dict | None = None
        self.switching = False
        self.switches_at = float("inf")
        self.failures = 0
        self.rests_until = float("-inf")
        self.outdated = False
        self.replaced_until = float("-inf")

    def record_load(self, running: int, waiting: int) -> None:
        """Take a report of the requests at the target."""
        self.reported = running + waiting
        self.in_flight_then = self.in_flight
        self.reported_at = time.monotonic()
        self.share = _draw_share(
            self.request_capacity - self.reported, self.entries
        )

    def record_success(self) -> None:
        """Count a request that the target answered."""
        self.failures = 0
        self.rests_until = float("-inf")

    def record_failure(self) -> bool:
        """Count a broken request; True if the target rests from now on."""
        self.failures += 1
        if self.failures < FAILURES_TO_REST:
            return False
        doubled = REST_MIN_S * 2 ** (self.failures - FAILURES_TO_REST)
        self.rests_until = time.monotonic() + min(doubled, REST_MAX_S)
        return True

    def rest(self, seconds: float) -> None:
        """Send the target nothing for some time."""
        self.rests_until = max(self.rests_until, time.monotonic() + seconds)

    def mark_replaced(self) -> None:
        """Take in that another target has the address by now."""
        self.replaced_until = time.monotonic() + REPLACED_S

    @property
    def replaced(self) -> bool:
        """Whether another target has the address."""
        return self.outdated or time.monotonic() < self.replaced_until

    @property
    def resting(self) -> bool:
        """Whether the target is left alone after failures."""
        return time.monotonic() < self.rests_until

    @property
    def request_capacity(self) -> int:
        """Requests at the target at which it has no place left."""
        return self.target.slots + ENGINE_QUEUE

    @property
    def places(self) -> int:
        """Requests that this entry may send there now.

        All entries see the same free places; each takes its share of them,
        and those that its own requests leave.
        """
        if time.monotonic() - self.reported_at > REPORT_LIFE_S:
            return self.request_capacity // self.entries - self.in_flight
        return self.share + self.in_flight_then - self.in_flight

    @property
    def load(self) -> int:
        """Estimate of the requests at the target, of all callers."""
        if time.monotonic() - self.reported_at > REPORT_LIFE_S:
            return self.in_flight
        known = self.reported + self.in_flight - self.in_flight_then
        return max(known, self.in_flight)

    def weights_of(self, model: str) -> int:
        """Return the version of a model that it holds; 0 if none."""
        told = self.target.weights if self.weights is None else self.weights
        return told.get(model, 0)

    @property
    def holds_weights(self) -> bool:
        """Whether it holds a whole model."""
        told = self.target.weights if self.weights is None else self.weights
        return bool(told)


def _draw_share(free: int, entries: int) -> int:
    """Return a part of the free places, rounded at random."""
    if free <= 0:
        return 0
    whole, rest = divmod(free, max(entries, 1))
    return whole + (random.random() * max(entries, 1) < rest)
