"""Runs eventlet's tasks on a clock that jumps to the next timer."""

import time

from eventlet import hubs
from eventlet.hubs import hub

# Any start will do; 0 would look like 'never' to code that compares.
START_S = 1000.0
# Sets timers of one moment apart: a hub orders them by address otherwise.
TIMER_ORDER_STEP_S = 1e-11


class VirtualTimeHub(hub.BaseHub):
    """A hub without files or sockets, whose time is its own."""

    def __init__(self, clock=None) -> None:
        """Start the clock."""
        self.now = START_S
        self.timers_added = 0
        super().__init__(clock=lambda: self.now)

    def add_timer(self, timer):
        """Schedule a timer; those of one moment fire in their order."""
        self.timers_added += 1
        timer.seconds += self.timers_added * TIMER_ORDER_STEP_S
        return super().add_timer(timer)

    def wait(self, seconds: float | None = None) -> None:
        """Let the time until the next timer be over at once."""
        if seconds:
            self.now += seconds


def install() -> None:
    """Put the whole process on virtual time; nothing undoes it."""
    hubs.use_hub(VirtualTimeHub)
    time.monotonic = hubs.get_hub().clock
