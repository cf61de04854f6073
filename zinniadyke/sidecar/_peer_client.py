"""Requests pieces and digests from other agents."""

import collections
from collections.abc import Callable
import http
import logging

import msgspec
import urllib3

from zinniadyke import bounded_http
from zinniadyke import decoding
from zinniadyke import errors
from zinniadyke import http_pools
from zinniadyke import platform
from zinniadyke.sidecar import _peer_server
from zinniadyke.sidecar import _pieces

LOG = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
# A piece takes about 70 ms on an idle link, but several share the link.
READ_TIMEOUT_S = 1.6
# Digests are a few KB. Many hosts wait until the first few have read them, so
# a frozen peer must not delay those few for long.
DIGESTS_TIMEOUT_S = 0.3
# Time limit of a whole transfer; several share a narrow link.
MAX_TRANSFER_S = 8.0
# Digests of some ten thousand pieces.
MAX_DIGESTS_BYTES = 1 << 20
CONNECTIONS_PER_HOST = 8
# Hosts to which connections are kept, the latest ones asked. A host in a
# large fleet asks hundreds of others in a day, and has some thousand
# descriptors.
MAX_POOLS = 32
# Whole pieces from several peers at once would queue in the host's link
# ahead of incoming requests.
RANGE_BYTES = 8192

PIECE_TIMEOUT = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)


class PeerClient:
    """Client of other agents' peer servers; reuses connections.

    Attributes
    ----------
    pools
        Connections to each host, the one not asked for longest first.
    unresponsive
        Hosts that did not answer the last request.
    """

    def __init__(self, *, port: int) -> None:
        """Create a client; it connects on first use."""
        self.port = port
        self.pools: collections.OrderedDict[
            str, urllib3.HTTPConnectionPool
        ] = collections.OrderedDict()
        self.unresponsive: set[str] = set()

    def digests(
        self, host_ip: str, model: str, version: int, *, piece_count: int
    ) -> tuple[str, ...] | None:
        """Return the digests of a version's pieces; None on failure.

        Parameters
        ----------
        piece_count
            Number of pieces in the configuration; 0 if it names none.
        """
        data = self._get(
            host_ip,
            f"{_peer_server.MANIFEST_PATH}?model={model}&version={version}",
            timeout=urllib3.Timeout(
                connect=DIGESTS_TIMEOUT_S, read=DIGESTS_TIMEOUT_S
            ),
        )
        if data is None:
            return None
        try:
            found = msgspec.json.decode(data, type=tuple[str, ...])
            platform.check_digests(found, piece_count)
            return found
        except (errors.WeightsError, *decoding.UNREADABLE) as error:
            LOG.warning(
                "digests from peer unusable",
                extra={"host": host_ip, "reason": str(error)},
            )
            return None

    def piece(
        self,
        host_ip: str,
        store: _pieces.PieceStore,
        index: int,
        *,
        size_bytes: int,
        throttle: Callable[[int], None],
    ) -> bytes | None:
        """Return the unchecked bytes of a piece; None on failure.

        Parameters
        ----------
        throttle
            Waits until a number of bytes may be requested.
        """
        path = (
            f"{_peer_server.PIECE_PATH}?{_version_query(store)}&index={index}"
        )
        parts = []
        for first in range(0, size_bytes, RANGE_BYTES):
            length = min(RANGE_BYTES, size_bytes - first)
            throttle(length)
            part = self._get(
                host_ip,
                path,
                headers={"Range": f"bytes={first}-{first + length - 1}"},
                max_bytes=length,
            )
            if part is None:
                return None
            parts.append(part)
        return b"".join(parts)

    def _get(
        self,
        host_ip: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        timeout: urllib3.Timeout = PIECE_TIMEOUT,
        max_bytes: int = MAX_DIGESTS_BYTES,
    ) -> bytes | None:
        try:
            answer = bounded_http.request(
                self._pool(host_ip),
                "GET",
                path,
                max_bytes=max_bytes,
                total_s=MAX_TRANSFER_S,
                headers=headers,
                timeout=timeout,
            )
        except urllib3.exceptions.HTTPError as error:
            if host_ip not in self.unresponsive:
                self.unresponsive.add(host_ip)
                LOG.info(
                    "peer does not respond",
                    extra={"host": host_ip, "reason": str(error)},
                )
            return None
        if host_ip in self.unresponsive:
            self.unresponsive.discard(host_ip)
            LOG.info("peer responds again", extra={"host": host_ip})
        if answer.status not in (
            http.HTTPStatus.OK,
            http.HTTPStatus.PARTIAL_CONTENT,
        ):
            return None
        return answer.data

    def _pool(self, host_ip: str) -> urllib3.HTTPConnectionPool:
        """Return the connections to a host; close those used longest ago."""
        if host_ip not in self.pools:
            self.pools[host_ip] = http_pools.connection_pool(
                host_ip, self.port, maxsize=CONNECTIONS_PER_HOST
            )
        self.pools.move_to_end(host_ip)
        while len(self.pools) > MAX_POOLS:
            # Calls that run go on; their connections close as they end.
            dropped_ip, dropped = self.pools.popitem(last=False)
            dropped.close()
            self.unresponsive.discard(dropped_ip)
        return self.pools[host_ip]


def _version_query(store: _pieces.PieceStore) -> str:
    return f"model={store.model}&version={store.version}"
