"""Smoothed slowness of the host that a target runs on."""

import math
import time

# Older figures lose their weight in this time. They change many times a
# second, and a longer time hides hosts that have just turned slow.
SMOOTHING_S = 0.1
# Without new figures the slowness returns to 1 in this time.
DECAY_S = 0.6
# Figures above this are absurd.
MAX_FACTOR = 100.0


def is_plausible(factor: float) -> bool:
    """Whether a reported factor can be one; false for NaN."""
    return 0.0 < factor <= MAX_FACTOR


class Slowness:
    """Factor by which work takes longer than usual on a host.

    Load: hosts shared with other work, which are slow for some hundred
    milliseconds at a time, and figures that arrive with answers and reports.
    """

    def __init__(self, factor: float) -> None:
        """Start from the first figure."""
        self.smoothed = factor
        self.recorded_at = time.monotonic()

    def record(self, factor: float) -> None:
        """Record a plausible figure; 1.0 is usual."""
        now = time.monotonic()
        weight = -math.expm1((self.recorded_at - now) / SMOOTHING_S)
        expected = self.factor(now)
        self.smoothed = expected + weight * (factor - expected)
        self.recorded_at = now

    def factor(self, now: float) -> float:
        """Return the factor at a monotonic time, in seconds.

        It decays to 1, so that a host that was slow gets requests again
        when its figures are missing.
        """
        return 1.0 + (self.smoothed - 1.0) * math.exp(
            (self.recorded_at - now) / DECAY_S
        )
