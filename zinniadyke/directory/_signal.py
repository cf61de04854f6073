"""A signal for tasks that wait for a change."""

import eventlet
from eventlet import event


class Signal:
    """Wakes all tasks that wait for a change."""

    def __init__(self) -> None:
        """Create a signal that no task waits for."""
        self.changed = event.Event()

    def send(self) -> None:
        """Wake all waiting tasks."""
        changed, self.changed = self.changed, event.Event()
        changed.send()

    def wait(self, timeout_s: float) -> bool:
        """Wait; return False if not woken within ``timeout_s`` seconds."""
        with eventlet.Timeout(max(timeout_s, 0), False):
            self.changed.wait()
            return True
        return False
