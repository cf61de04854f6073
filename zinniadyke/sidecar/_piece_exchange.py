"""Exchanges with other agents which pieces each has, in datagrams.

The set of all pieces fits into one datagram, and a later datagram replaces a
lost one. Responses over HTTP used a tenth of a host's link instead.
"""

from collections.abc import Callable
import logging
import socket
import time

import eventlet

from zinniadyke import directory
from zinniadyke import reports
from zinniadyke.sidecar import _pieces

LOG = logging.getLogger(__name__)

# Pieces that arrive within this interval are reported together.
REPORT_INTERVAL_S = 0.1
# Reports that an agent sends at most; with more subscribers they come in
# longer intervals.
MAX_REPORTS_PER_S = 150.0
# Interval between queries; peers answer each at once.
QUERY_INTERVAL_S = 0.4
# A peer that has sent no query for this long gets no more reports.
SUBSCRIPTION_TIMEOUT_S = 1.5
# A peer counts as unreachable after this silence, and other agents take over
# its pieces. A killed process restarts sooner.
UNREACHABLE_AFTER_S = 1.2

SocketAddress = tuple[str, int]


class PieceExchange:
    """Exchanges with peers which pieces of a version each has.

    Parameters
    ----------
    held
        Returns the indexes of the pieces of a version that this agent has.

    Attributes
    ----------
    queried
        Sent when a new subscriber queries.
    subscribers
        Last query of each peer and the monotonic time of its arrival.
    last_reports
        Last report sent to each subscriber.
    watched_store
        Store of the version whose pieces this agent asks its peers about.
    last_heard_at
        Monotonic time of each peer's last report, by host; that of the first
        query before any report.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        port: int,
        held: Callable[[str, int], set[int]],
    ) -> None:
        """Start without subscribers."""
        self.sock = sock
        self.port = port
        self.held = held
        self.queried = directory.Signal()
        self.subscribers: dict[
            SocketAddress, tuple[reports.PieceQuery, float]
        ] = {}
        self.last_reports: dict[SocketAddress, reports.PieceReport] = {}
        self.watched_store: _pieces.PieceStore | None = None
        self.last_heard_at: dict[str, float] = {}
        self.on_pieces: Callable[[str, set[int]], None] = lambda host, have: (
            None
        )

    def handle_query(
        self, query: reports.PieceQuery, sender: SocketAddress
    ) -> None:
        """Report to a peer now, and again whenever pieces arrive."""
        if sender not in self.subscribers:
            self.queried.send()
        self.subscribers[sender] = (query, time.monotonic())
        self._send_report(sender, query, force=True)

    def handle_report(
        self, report: reports.PieceReport, sender: SocketAddress
    ) -> None:
        """Record the pieces that a peer reports for the watched version."""
        store = self.watched_store
        if store is None or (report.model, report.version) != (
            store.model,
            store.version,
        ):
            return
        self.last_heard_at[sender[0]] = time.monotonic()
        self.on_pieces(sender[0], reports.decode_indexes(report.have))

    def announce_pieces(self) -> None:
        """Report new pieces to the subscribers, forever."""
        while True:
            if not self.subscribers:
                self.queried.wait(SUBSCRIPTION_TIMEOUT_S)
            eventlet.sleep(report_interval_s(len(self.subscribers)))
            now = time.monotonic()
            for sender, (query, queried_at) in list(self.subscribers.items()):
                if now > queried_at + SUBSCRIPTION_TIMEOUT_S:
                    del self.subscribers[sender]
                    self.last_reports.pop(sender, None)
                    continue
                self._send_report(sender, query)

    def watch_peers(
        self,
        store: _pieces.PieceStore,
        hosts: Callable[[], list[str]],
        on_pieces: Callable[[str, set[int]], None],
        on_unreachable: Callable[[str, bool], None],
    ) -> None:
        """Query hosts for their pieces until the task is killed.

        Parameters
        ----------
        hosts
            Returns the hosts to query.
        on_pieces
            Called with a host and the indexes of the pieces it has.
        on_unreachable
            Called with a host and whether it is unreachable, on changes.
        """
        self.watched_store, self.on_pieces = store, on_pieces
        self.last_heard_at = {}
        known_unreachable: set[str] = set()
        query = reports.PieceQuery(model=store.model, version=store.version)
        while True:
            queried = hosts()
            for host_ip in queried:
                self.last_heard_at.setdefault(host_ip, time.monotonic())
                self._send(query, (host_ip, self.port))
            eventlet.sleep(QUERY_INTERVAL_S)
            silent_since = time.monotonic() - UNREACHABLE_AFTER_S
            unresponsive = {
                h for h in queried if self.last_heard_at[h] < silent_since
            }
            for host_ip in sorted(unresponsive ^ known_unreachable):
                LOG.info(
                    "peer does not respond"
                    if host_ip in unresponsive
                    else "peer responds again",
                    extra={"host": host_ip, "version": store.version},
                )
                if host_ip in unresponsive:
                    on_pieces(host_ip, set())
                on_unreachable(host_ip, host_ip in unresponsive)
            known_unreachable = unresponsive

    def _send_report(
        self,
        sender: SocketAddress,
        query: reports.PieceQuery,
        *,
        force: bool = False,
    ) -> None:
        report = reports.PieceReport(
            model=query.model,
            version=query.version,
            have=reports.encode_indexes(self.held(query.model, query.version)),
        )
        if force or self.last_reports.get(sender) != report:
            self.last_reports[sender] = report
            self._send(report, sender)

    def _send(self, message: reports.Message, to: SocketAddress) -> None:
        try:
            self.sock.sendto(reports.encode(message), to)
        except OSError as error:
            LOG.debug(
                "cannot send datagram",
                extra={"host": to[0], "reason": str(error)},
            )


def report_interval_s(subscribers: int) -> float:
    """Return the interval between reports to some subscribers, in seconds.

    Load: in a large region every agent reports to every other one while a
    version is fetched, which grows with the square of the region.
    """
    return max(REPORT_INTERVAL_S, subscribers / MAX_REPORTS_PER_S)
