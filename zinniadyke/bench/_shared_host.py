"""Host whose other work slows an engine down for some time."""

import random
import time

import eventlet

SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
CHANGE_INTERVAL_S = 0.6
# Mean speed of a host, relative to one that is never slow.
MEAN_SPEED = 1 - SLOW_SHARE + SLOW_SHARE / SLOW_FACTOR
# The engine's report states a slowness that is up to this old.
PACE_AGE_S = 0.2
# Work below this is done; it only stems from rounding.
NO_WORK_S = 1e-9


class SharedHost:
    """Draws anew at each interval whether the host is slow."""

    def __init__(self, *, rng: random.Random) -> None:
        """Start at a random moment of an interval."""
        self.rng = rng
        self.changes_at = time.monotonic() - rng.uniform(0, CHANGE_INTERVAL_S)
        self.current = 1.0
        self.pace_read_at = float("-inf")
        self.last_pace = 1.0

    def slowness(self) -> float:
        """Return the factor by which work takes longer now."""
        while time.monotonic() >= self.changes_at:
            self.changes_at += CHANGE_INTERVAL_S
            is_slow = self.rng.random() < SLOW_SHARE
            self.current = SLOW_FACTOR if is_slow else 1.0
        return self.current

    def pace(self) -> float:
        """Return the slowness as the engine's report states it."""
        if time.monotonic() >= self.pace_read_at + PACE_AGE_S:
            self.pace_read_at = time.monotonic()
            self.last_pace = self.slowness()
        return self.last_pace

    def run(self, work_s: float) -> None:
        """Wait while the host does work that usually takes ``work_s``."""
        while work_s > NO_WORK_S:
            slowness = self.slowness()
            took_s = min(work_s * slowness, self.changes_at - time.monotonic())
            eventlet.sleep(took_s)
            work_s -= took_s / slowness
