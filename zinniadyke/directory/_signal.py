"""Wakes tasks that wait for a change."""

import eventlet
from eventlet import event


class Signal:
    """Wakes tasks that wait for a change."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self.changed = event.Event()

    def send(self) -> None:
        """Wake all that wait."""
        changed, self.changed = self.changed, event.Event()
        changed.send()

    def wait(self, timeout_s: float) -> bool:
        """Wait; False if nothing changed within ``timeout_s`` seconds."""
        with eventlet.Timeout(max(timeout_s, 0), False):
            self.changed.wait()
            return True
        return False
