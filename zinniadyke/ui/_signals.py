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
        Called in a new green thread after each SIGHUP.
    """
    stop_requested = event.Event()

    def stop(*_) -> None:
        eventlet.spawn_n(_send_once, stop_requested)

    def reload(*_) -> None:
        eventlet.spawn_n(on_reload)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    if on_reload is not None:
        signal.signal(signal.SIGHUP, reload)
    stop_requested.wait()


def _send_once(stop_requested: event.Event) -> None:
    if not stop_requested.ready():
        stop_requested.send()
