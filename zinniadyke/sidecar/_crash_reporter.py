"""Tells entries of crashes of the target, and passes on what they learned."""

from collections.abc import Callable
import logging
import time

import eventlet

from zinniadyke import directory
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import platform
from zinniadyke import reports

LOG = logging.getLogger(__name__)

# Entries notice a crash within a few milliseconds of one another, and their
# datagrams arrive within this time.
GATHER_S = 0.08
# Each report is sent this often, as datagrams may be lost.
REPORT_COPIES = 2
COPY_INTERVAL_S = 0.1
# A message that was passed on is not passed on again for this time.
RELAY_MEMORY_S = 5.0
MAX_RELAYED = 256
MS_PER_S = 1000.0

SocketAddress = tuple[str, int]


class CrashReporter:
    """Reports crashes of the target to the entries that subscribe.

    Each entry knows only its own requests at the target. What all of them
    tell of one crash is gathered here and sent to all.

    Parameters
    ----------
    read_report
        Returns the target's report; raises ``EngineError`` if it is down.
    broadcast
        Sends a message to all subscribed entries.

    Attributes
    ----------
    interrupted
        Requests that a start of the target cut off, by its time of birth.
    relayed
        Messages that were passed on, with the monotonic time.
    """

    def __init__(
        self,
        *,
        address: str,
        read_report: Callable[[], platform.EngineReport],
        broadcast: Callable[[reports.Message], None],
    ) -> None:
        """Start without crashes."""
        self.address = address
        self.read_report = read_report
        self.broadcast = broadcast
        self.interrupted: dict[int, reports.PartsByRequest] = {}
        self.interrupted_at: dict[int, float] = {}
        self.reported = 0
        self.changed = directory.Signal()
        self.relayed: dict[object, float] = {}
        self.incarnation = ids.new_incarnation()

    def handle_interruption(
        self, message: reports.Interruption, sender: SocketAddress
    ) -> None:
        """Gather the requests that an entry lost."""
        if message.address != self.address:
            return
        self.interrupted_at.setdefault(message.born_ms, time.monotonic())
        self.interrupted.setdefault(message.born_ms, {}).update(
            message.requests
        )
        self.changed.send()

    def handle_news(
        self,
        message: reports.PromptNews | reports.CrashReport,
        sender: SocketAddress,
    ) -> None:
        """Pass on what an entry learned, once."""
        key = _relay_key(message)
        now = time.monotonic()
        if now - self.relayed.get(key, float("-inf")) < RELAY_MEMORY_S:
            return
        self.relayed.pop(key, None)
        self.relayed[key] = now
        while len(self.relayed) > MAX_RELAYED:
            del self.relayed[next(iter(self.relayed))]
        self.broadcast(message)

    def run(self) -> None:
        """Report crashes, forever."""
        while True:
            if not self.interrupted:
                self.changed.wait(GATHER_S * 10)
                continue
            eventlet.sleep(GATHER_S)
            interrupted, self.interrupted = self.interrupted, {}
            interrupted_at, self.interrupted_at = self.interrupted_at, {}
            present_ms = self._present_start_ms()
            for born_ms, requests in interrupted.items():
                if present_ms is not None and present_ms in (0, born_ms):
                    # It runs on; it only cut off some answers.
                    continue
                self._report(interrupted_at[born_ms], born_ms, requests)

    def _present_start_ms(self) -> int | None:
        """Return when the running target started; None if it is down."""
        try:
            return self.read_report().born_ms
        except errors.EngineError:
            return None

    def _report(
        self, at: float, born_ms: int, requests: reports.PartsByRequest
    ) -> None:
        LOG.warning(
            "target crashed",
            extra={
                "address": self.address,
                "born": born_ms,
                "requests": sorted(requests),
            },
        )
        # Without a time of birth, one crash follows another by number.
        start = born_ms or f"{self.incarnation}-{self.reported}"
        self.reported += 1
        for copy in range(REPORT_COPIES):
            if copy:
                eventlet.sleep(COPY_INTERVAL_S)
            for group in reports.split_requests(requests):
                self.broadcast(
                    reports.CrashReport(
                        address=self.address,
                        crash=f"{self.address} {start}",
                        age_ms=int((time.monotonic() - at) * MS_PER_S),
                        requests=group,
                    )
                )


def _relay_key(message: reports.PromptNews | reports.CrashReport) -> object:
    """Return what a repeated message has in common with the first."""
    if isinstance(message, reports.CrashReport):
        return message.crash, tuple(sorted(message.requests))
    return message.name
