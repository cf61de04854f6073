"""Asks other agents for pieces, and what they have."""

from collections.abc import Callable
import http
import logging
import time

import eventlet
import urllib3

from zinniadyke.sidecar import _peer_server
from zinniadyke.sidecar import _pieces

LOG = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
# A piece takes some 70 ms on a free link, several share it.
READ_TIMEOUT_S = 1.6
# Longest wait of a peer for a change of what it has.
WAIT_S = 0.6
# A peer that did not answer, or has nothing yet, is asked again after this.
RETRY_S = 0.2
CONNECTIONS = 6
# Silence after which others do a peer's part: a process that is killed is
# back sooner.
GONE_S = 1.2


class PeerClient:
    """Calls the agents' peer servers; keeps connections.

    Attributes
    ----------
    silent
        Hosts that did not answer the last call.
    """

    def __init__(self, *, port: int) -> None:
        """Connect on first use."""
        self.port = port
        self.pools: dict[str, urllib3.HTTPConnectionPool] = {}
        self.silent: set[str] = set()

    def piece(
        self, host_ip: str, store: _pieces.PieceStore, index: int
    ) -> bytes | None:
        """Return the bytes of a piece, unchecked; None if not to be had."""
        path = f"{_peer_server.PIECE_PATH}?{_query(store)}&index={index}"
        return self._get(host_ip, path)

    def watch(
        self,
        host_ip: str,
        store: _pieces.PieceStore,
        on_pieces: Callable[[str, set[int]], None],
        on_gone: Callable[[str, bool], None],
    ) -> None:
        """Report what a peer has, whenever that changes; until killed."""
        known = 0
        heard_at = time.monotonic()
        gone = False
        while True:
            data = self._get(
                host_ip,
                f"{_peer_server.HAVE_PATH}?{_query(store)}"
                f"&known={known}&wait={WAIT_S}",
            )
            now = time.monotonic()
            if data is not None or host_ip not in self.silent:
                heard_at = now
            if gone != (now - heard_at > GONE_S):
                gone = not gone
                on_gone(host_ip, gone)
            if data is None:
                on_pieces(host_ip, set())
                known = 0
                eventlet.sleep(RETRY_S)
                continue
            found = _peer_server.decode_indexes(data)
            known = len(found)
            on_pieces(host_ip, found)

    def _get(self, host_ip: str, path: str) -> bytes | None:
        pool = self.pools.get(host_ip)
        if pool is None:
            pool = self.pools[host_ip] = urllib3.HTTPConnectionPool(
                host_ip, self.port, maxsize=CONNECTIONS, retries=False
            )
        try:
            answer = pool.request(
                "GET",
                path,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            if host_ip not in self.silent:
                self.silent.add(host_ip)
                LOG.info(
                    "peer silent",
                    extra={"host": host_ip, "reason": str(error)},
                )
            return None
        if host_ip in self.silent:
            self.silent.discard(host_ip)
            LOG.info("peer answers", extra={"host": host_ip})
        if answer.status != http.HTTPStatus.OK:
            return None
        return answer.data


def _query(store: _pieces.PieceStore) -> str:
    return f"model={store.model}&version={store.version}"
