"""Which classes are admitted so seldom that they go before others."""

import time

# Requests of a class and a workspace must be answered at least a quarter as
# often as all requests together; the rest is a margin, because admitted
# requests may still be answered late.
MIN_RATIO_TO_ALL = 0.35
# The record's weight falls to 1/e in this time.
MEMORY_S = 10.0
# With fewer arrivals the ratio is not significant.
MIN_ARRIVALS = 5.0


class ClassRecord:
    """Arrivals and admissions of each class at one entry.

    Load: urgent classes that take all slots for long. The classes below them
    must not starve.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.arrivals: dict[int, float] = {}
        self.admissions: dict[int, float] = {}
        self.decayed_at = time.monotonic()

    def record_arrival(self, priority: int) -> None:
        """Record a request of a class."""
        self._decay()
        self.arrivals[priority] = self.arrivals.get(priority, 0.0) + 1

    def record_admission(self, priority: int) -> None:
        """Record that one of them got a slot."""
        self._decay()
        self.admissions[priority] = self.admissions.get(priority, 0.0) + 1

    def is_short(self, priority: int) -> bool:
        """Whether a class was admitted too seldom, compared with all."""
        arrivals = self.arrivals.get(priority, 0.0)
        if len(self.arrivals) < 2 or arrivals < MIN_ARRIVALS:
            return False
        admitted = self.admissions.get(priority, 0.0) / arrivals
        admitted_of_all = sum(self.admissions.values()) / sum(
            self.arrivals.values()
        )
        return admitted < MIN_RATIO_TO_ALL * admitted_of_all

    def least_part(self, priority: int) -> float:
        """Return the part of all admissions that a class gets at least."""
        total = sum(self.arrivals.values())
        if not total:
            return 1.0
        return MIN_RATIO_TO_ALL * self.arrivals.get(priority, 0.0) / total

    def _decay(self) -> None:
        """Reduce the weight of what was recorded, in steps."""
        elapsed_s = time.monotonic() - self.decayed_at
        if elapsed_s < 1.0:
            return
        self.decayed_at += elapsed_s
        factor = max(0.0, 1.0 - elapsed_s / MEMORY_S)
        for record in (self.arrivals, self.admissions):
            for priority in list(record):
                record[priority] *= factor
                if record[priority] < 0.01:
                    del record[priority]
