"""Virtual time: an eventlet hub whose clock jumps to the next timer."""

import time

from eventlet import hubs
from eventlet.hubs import hub

from zinniadyke import uptime

# With 0, code that compares times would read the start as 'never'.
START_S = 1000.0
# Keeps simultaneous timers in order; the hub would order them by address.
TIMER_ORDER_STEP_S = 1e-11


class VirtualTimeHub(hub.BaseHub):
    """Hub without files or sockets that keeps its own time."""

    def __init__(self, clock=None) -> None:
        """Start the clock."""
        self.now = START_S
        self.timers_added = 0
        super().__init__(clock=lambda: self.now)

    def add_timer(self, timer):
        """Schedule a timer; simultaneous timers fire in insertion order."""
        self.timers_added += 1
        timer.seconds += self.timers_added * TIMER_ORDER_STEP_S
        return super().add_timer(timer)

    def wait(self, seconds: float | None = None) -> None:
        """Advance the clock to the next timer without waiting."""
        if seconds:
            self.now += seconds


def install() -> None:
    """Switch the whole process to virtual time, irreversibly."""
    hubs.use_hub(VirtualTimeHub)
    time.monotonic = hubs.get_hub().clock
    uptime.now_s = hubs.get_hub().clock
