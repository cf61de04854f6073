"""Refreshes what an entry knows after its process stood still."""

from collections.abc import Callable
import logging

import eventlet
from eventlet import event

from zinniadyke import uptime

LOG = logging.getLogger(__name__)

# Interval of the checks; each attempt checks as well.
CHECK_INTERVAL_S = 0.2
# A longer time between two checks means that the process stood still. What
# changed in a shorter one is learned as usual, well inside all bounds.
STANDSTILL_S = 1.0
# Longest wait of a request. Within it agents report what others know, also
# if the store does not answer.
MAX_WAIT_S = 0.5


class StandstillGuard:
    """Delays requests until an entry that stood still is up to date.

    Load: a host that is frozen for seconds or minutes. Requests that it has
    chosen targets for, and those that callers sent meanwhile, go on at once
    when it wakes, before any message about what has changed is read.

    Parameters
    ----------
    refresh
        Asks for what has changed; returns whether the answer is complete.
    clock
        Returns seconds of a clock that counts time in suspension.

    Attributes
    ----------
    refreshed
        Event of the end of the present refresh; None if there is none.
    """

    def __init__(
        self,
        *,
        refresh: Callable[[], bool],
        clock: Callable[[], float] = uptime.now_s,
    ) -> None:
        """Start as up to date."""
        self.refresh = refresh
        self.clock = clock
        self.checked_at = clock()
        self.refreshed: event.Event | None = None

    def run(self) -> None:
        """Check for a standstill, forever."""
        while True:
            eventlet.sleep(CHECK_INTERVAL_S)
            self.check()

    def wait(self) -> None:
        """Wait for the end of a refresh, for at most ``MAX_WAIT_S``."""
        self.check()
        if self.refreshed is not None:
            with eventlet.Timeout(MAX_WAIT_S, False):
                self.refreshed.wait()

    def check(self) -> None:
        """Begin a refresh if the process stood still."""
        now = self.clock()
        stood_still_s, self.checked_at = now - self.checked_at, now
        if stood_still_s < STANDSTILL_S:
            return
        LOG.warning("process stood still", extra={"s": stood_still_s})
        if self.refreshed is None:
            self.refreshed = event.Event()
            eventlet.spawn_n(self._refresh)

    def _refresh(self) -> None:
        try:
            if not self.refresh():
                eventlet.sleep(MAX_WAIT_S)
        finally:
            refreshed, self.refreshed = self.refreshed, None
            refreshed.send()
