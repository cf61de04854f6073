"""Signals that stop or reload a daemon."""

from collections.abc import Callable
import signal

import eventlet
from eventlet import event


def wait_for_stop(on_reload: Callable[[], None] | None = None) -> None:
    """Wait for SIGTERM or SIGINT.

    Parameters
    ----------
    on_reload
        Called, in a task of its own, after each SIGHUP.
    """
    told = event.Event()

    def stop(*_) -> None:
        eventlet.spawn_n(_send_once, told)

    def reload(*_) -> None:
        eventlet.spawn_n(on_reload)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    if on_reload is not None:
        signal.signal(signal.SIGHUP, reload)
    told.wait()


def _send_once(told: event.Event) -> None:
    if not told.ready():
        told.send()
