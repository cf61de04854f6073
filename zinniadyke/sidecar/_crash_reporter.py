"""Tells entries of crashes of targets, and passes on what they learned."""

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
# Starts of targets whose requests are gathered at the same time.
MAX_STARTS = 64
MS_PER_S = 1000.0

SocketAddress = tuple[str, int]
# Address and time of birth of a target.
Start = tuple[str, int]


class CrashReporter:
    """Reports crashes of targets to the entries that subscribe.

    Each entry knows only its own requests at a target. What all of them tell
    of one crash is gathered here and sent to all: crashes of the target on
    this host, and of targets without an agent that entries name.

    Parameters
    ----------
    address
        Address of the target on this host.
    read_report
        Returns that target's report; raises ``EngineError`` if it is down.
    refuses_connections
        Returns whether a target at an address has ended.
    broadcast
        Sends a message to all subscribed entries.

    Attributes
    ----------
    interrupted
        Requests that a start of a target cut off, by address and time of
        birth.
    relayed
        Messages that were passed on, with the monotonic time.
    """

    def __init__(
        self,
        *,
        address: str,
        read_report: Callable[[], platform.EngineReport],
        refuses_connections: Callable[[str], bool],
        broadcast: Callable[[reports.Message], None],
    ) -> None:
        """Start without crashes."""
        self.address = address
        self.read_report = read_report
        self.refuses_connections = refuses_connections
        self.broadcast = broadcast
        self.interrupted: dict[Start, reports.SuspectsByRequest] = {}
        self.interrupted_at: dict[Start, float] = {}
        self.reported = 0
        self.changed = directory.Signal()
        self.relayed: dict[object, float] = {}
        self.incarnation = ids.new_incarnation()

    def handle_interruption(
        self, message: reports.Interruption, sender: SocketAddress
    ) -> None:
        """Gather the requests that an entry lost."""
        start = message.address, message.born_ms
        if start not in self.interrupted and (
            len(self.interrupted) >= MAX_STARTS
        ):
            LOG.warning("crash not gathered", extra={"address": start[0]})
            return
        self.interrupted_at.setdefault(start, time.monotonic())
        self.interrupted.setdefault(start, {}).update(message.requests)
        self.changed.send()

    def handle_news(
        self,
        message: reports.SuspectNews | reports.CrashReport,
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
            for start, requests in interrupted.items():
                try:
                    # One that runs on only cut off some answers.
                    if self._has_ended(start):
                        self._report(interrupted_at[start], start, requests)
                except Exception:
                    # One message must not end the reports of all others.
                    LOG.exception("crash not reported", extra={"start": start})

    def _has_ended(self, start: Start) -> bool:
        """Whether a start of a target runs no more."""
        address, born_ms = start
        if address != self.address:
            return self.refuses_connections(address)
        try:
            return self.read_report().born_ms not in (0, born_ms)
        except errors.EngineError:
            return True

    def _report(
        self, at: float, start: Start, requests: reports.SuspectsByRequest
    ) -> None:
        address, born_ms = start
        LOG.warning(
            "target crashed",
            extra={
                "address": address,
                "born": born_ms,
                "requests": sorted(requests),
            },
        )
        # Without a time of birth, one crash follows another by number.
        name = born_ms or f"{self.incarnation}-{self.reported}"
        self.reported += 1
        for copy in range(REPORT_COPIES):
            if copy:
                eventlet.sleep(COPY_INTERVAL_S)
            for group in reports.split_requests(requests):
                self.broadcast(
                    reports.CrashReport(
                        address=address,
                        crash=ids.CrashId(f"{address} {name}"),
                        age_ms=int((time.monotonic() - at) * MS_PER_S),
                        requests=group,
                    )
                )


def _relay_key(message: reports.SuspectNews | reports.CrashReport) -> object:
    """Return what a repeated message has in common with the first."""
    if isinstance(message, reports.CrashReport):
        return message.crash, tuple(sorted(message.requests))
    return message.name
