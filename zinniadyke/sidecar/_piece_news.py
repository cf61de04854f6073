"""Tells other agents which pieces are here, and learns which they have.

Datagrams, as a whole set of pieces fits into one and a later one makes up
for one that was lost: the answers of HTTP took a tenth of a host's link.
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

# Pieces that came meanwhile are told together, this often.
TELL_S = 0.1
# Peers are asked this often; each answers at once.
ASK_S = 0.4
# A peer that has not asked for this long is told nothing any more.
ASKED_LIFE_S = 1.5
# Silence after which others do a peer's part: a process that is killed is
# back sooner.
GONE_S = 1.2

Sender = tuple[str, int]


class PieceNews:
    """Exchanges with peers which pieces of a version each has.

    Parameters
    ----------
    held
        Returns the indexes of the pieces of a version that are here.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        port: int,
        held: Callable[[str, int], set[int]],
    ) -> None:
        """Start with nobody asking."""
        self.sock = sock
        self.port = port
        self.held = held
        self.asked = directory.Signal()
        self.askers: dict[Sender, tuple[reports.PieceQuery, float]] = {}
        self.told: dict[Sender, reports.PieceReport] = {}
        self.watched: _pieces.PieceStore | None = None
        self.heard_at: dict[str, float] = {}
        self.on_pieces: Callable[[str, set[int]], None] = lambda host, have: (
            None
        )

    def take_query(self, query: reports.PieceQuery, sender: Sender) -> None:
        """Answer a peer that asks, now and when more pieces come."""
        if sender not in self.askers:
            self.asked.send()
        self.askers[sender] = (query, time.monotonic())
        self._tell(sender, query, again=True)

    def take_report(self, report: reports.PieceReport, sender: Sender) -> None:
        """Take in what a peer has."""
        store = self.watched
        if store is None or (report.model, report.version) != (
            store.model,
            store.version,
        ):
            return
        self.heard_at[sender[0]] = time.monotonic()
        self.on_pieces(sender[0], reports.decode_indexes(report.have))

    def tell(self) -> None:
        """Tell those who ask of new pieces, for ever."""
        while True:
            if not self.askers:
                self.asked.wait(ASKED_LIFE_S)
            eventlet.sleep(TELL_S)
            now = time.monotonic()
            for sender, (query, asked_at) in list(self.askers.items()):
                if now > asked_at + ASKED_LIFE_S:
                    del self.askers[sender]
                    self.told.pop(sender, None)
                    continue
                self._tell(sender, query)

    def watch(
        self,
        store: _pieces.PieceStore,
        hosts: Callable[[], list[str]],
        on_pieces: Callable[[str, set[int]], None],
        on_gone: Callable[[str, bool], None],
    ) -> None:
        """Report what hosts have and which are silent, until killed.

        Parameters
        ----------
        hosts
            Returns the hosts that matter now.
        """
        self.watched, self.on_pieces = store, on_pieces
        self.heard_at = {}
        gone: set[str] = set()
        query = reports.PieceQuery(model=store.model, version=store.version)
        while True:
            asked = hosts()
            for host_ip in asked:
                self.heard_at.setdefault(host_ip, time.monotonic())
                self._send(query, (host_ip, self.port))
            eventlet.sleep(ASK_S)
            silent_since = time.monotonic() - GONE_S
            silent = {h for h in asked if self.heard_at[h] < silent_since}
            for host_ip in sorted(silent ^ gone):
                LOG.info(
                    "peer silent" if host_ip in silent else "peer answers",
                    extra={"host": host_ip, "version": store.version},
                )
                if host_ip in silent:
                    on_pieces(host_ip, set())
                on_gone(host_ip, host_ip in silent)
            gone = silent

    def _tell(
        self, sender: Sender, query: reports.PieceQuery, *, again: bool = False
    ) -> None:
        report = reports.PieceReport(
            model=query.model,
            version=query.version,
            have=reports.encode_indexes(self.held(query.model, query.version)),
        )
        if again or self.told.get(sender) != report:
            self.told[sender] = report
            self._send(report, sender)

    def _send(self, message: reports.Message, to: Sender) -> None:
        try:
            self.sock.sendto(reports.encode(message), to)
        except OSError as error:
            LOG.debug("not sent", extra={"host": to[0], "reason": str(error)})
