"""Measures the arrivals of requests by the priority of their route."""

import time

# Arrivals are counted in windows of this length; the rate is that of the
# present window and of the rest of the previous one.
WINDOW_S = 2.0


class Demand:
    """Arrivals at an entry for one service.

    Load: bursts of one class that last some seconds, with classes that come
    and go. A class counts as in use for one to two windows after its last
    arrival.
    """

    def __init__(self) -> None:
        """Start without arrivals."""
        self.window_started_at = time.monotonic()
        self.current: dict[int, int] = {}
        self.previous: dict[int, int] = {}

    def record(self, priority: int) -> None:
        """Record an arrival."""
        self._turn()
        self.current[priority] = self.current.get(priority, 0) + 1

    def per_s(self) -> dict[int, float]:
        """Return the arrivals a second of each priority that is in use."""
        elapsed_s = self._turn()
        rest = 1.0 - elapsed_s / WINDOW_S
        return {
            priority: (
                self.current.get(priority, 0)
                + rest * self.previous.get(priority, 0)
            )
            / WINDOW_S
            for priority in sorted(self.current.keys() | self.previous.keys())
        }

    @property
    def mixed(self) -> bool:
        """Whether routes of different priority are in use."""
        self._turn()
        return len(self.current.keys() | self.previous.keys()) > 1

    def _turn(self) -> float:
        """Begin new windows that are due; return the time in this one."""
        elapsed_s = time.monotonic() - self.window_started_at
        if elapsed_s < WINDOW_S:
            return elapsed_s
        whole, elapsed_s = divmod(elapsed_s, WINDOW_S)
        self.previous = self.current if whole == 1 else {}
        self.current = {}
        self.window_started_at += whole * WINDOW_S
        return elapsed_s
