"""Measures the arrivals of requests by scope and priority of their route."""

import time

from zinniadyke.gateway import _scope

# Arrivals are counted in windows of this length; the rate is that of the
# present window and of the rest of the previous one.
WINDOW_S = 2.0

Arrivals = dict[tuple[_scope.Scope | None, int], int]


class Demand:
    """Arrivals at an entry for one service.

    Load: bursts of one class that last some seconds, with classes that come
    and go. A class counts as in use for one to two windows after its last
    arrival.
    """

    def __init__(self) -> None:
        """Start without arrivals."""
        self.window_started_at = time.monotonic()
        self.current: Arrivals = {}
        self.previous: Arrivals = {}

    def record(self, scope: _scope.Scope | None, priority: int) -> None:
        """Record an arrival."""
        self._turn()
        key = (scope, priority)
        self.current[key] = self.current.get(key, 0) + 1

    def per_s(self) -> dict[tuple[_scope.Scope | None, int], float]:
        """Return the arrivals a second by scope and priority in use."""
        rest = 1.0 - self._turn() / WINDOW_S
        rates = {key: n / WINDOW_S for key, n in self.current.items()}
        for key, count in self.previous.items():
            rates[key] = rates.get(key, 0.0) + rest * count / WINDOW_S
        return rates

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
