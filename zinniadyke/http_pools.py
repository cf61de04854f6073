"""urllib3 pools that take only a whole answer, with a bounded head.

``http.client`` reads the head of an answer up to an empty line or to the end
of the connection. A head that ends early may lack the length of the body,
and would then stand for an answer with an empty body. A reset, which
eventlet hides, would stand for the end of a body without a length.

It also reads interim answers without end, and takes those that it does not
know for the final answer, so that the next call on the connection could get
the answer of this one.
"""

import http
import http.client
import socket

import urllib3
from urllib3 import connection

from zinniadyke import green_sockets


# Largest head, with all interim answers before it.
MAX_HEAD_BYTES = 65536
# Statuses that exist (RFC 9110, 15); those below 200 are interim answers.
# After one that switches protocols, no answer follows.
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599


class CutOffHeadError(http.client.HTTPException):
    """The connection ended within the head of an answer."""


class HeadTooLargeError(http.client.HTTPException):
    """The head of an answer, with interim answers, exceeds the limit."""


class InvalidStatusError(http.client.HTTPException):
    """The status is none that an answer may have."""


class _HeadFile:
    """File of a connection from which only whole lines are read.

    Attributes
    ----------
    begun
        Whether a line was read.
    read_bytes
        Number of bytes that were read.
    """

    def __init__(self, file) -> None:
        self.file = file
        self.begun = False
        self.read_bytes = 0

    def readline(self, limit: int) -> bytes:
        """Return a line.

        Raises
        ------
        CutOffHeadError
            The connection ended within the line, or before it although the
            head had begun.
        HeadTooLargeError
            All lines together exceed ``MAX_HEAD_BYTES``.
        """
        line = self.file.readline(limit)
        cut_off = not line.endswith(b"\n") and len(line) < limit
        if cut_off and (line or self.begun):
            raise CutOffHeadError("the connection ended within the head")
        self.begun = True
        self.read_bytes += len(line)
        if self.read_bytes > MAX_HEAD_BYTES:
            raise HeadTooLargeError(
                f"the head exceeds the limit of {MAX_HEAD_BYTES} bytes"
            )
        return line

    def close(self) -> None:
        self.file.close()


class _Response(http.client.HTTPResponse):
    """Answer whose head must be whole, bounded and of an existing status."""

    def begin(self) -> None:
        file = self.fp
        self.fp = _HeadFile(file)
        try:
            super().begin()
        finally:
            # It is None if the connection was closed.
            if self.fp is not None:
                self.fp = file

    def _read_status(self) -> tuple[str, int, str]:
        version, status, reason = super()._read_status()
        if (
            not MIN_STATUS <= status <= MAX_STATUS
            or status == http.HTTPStatus.SWITCHING_PROTOCOLS
        ):
            raise InvalidStatusError(f"status {status}")
        if status < MIN_FINAL_STATUS:
            # The only one that the library reads past.
            return version, http.HTTPStatus.CONTINUE, reason
        return version, status, reason


class _Connection(connection.HTTPConnection):
    """Connection whose answers must have a whole head, and no reset."""

    response_class = _Response

    def _new_conn(self) -> socket.socket:
        sock = super()._new_conn()
        green_sockets.raise_resets(sock)
        return sock


class _ConnectionPool(urllib3.HTTPConnectionPool):
    """Pool of connections to one server."""

    ConnectionCls = _Connection


def connection_pool(
    host: str, port: int, *, maxsize: int
) -> urllib3.HTTPConnectionPool:
    """Return a pool of connections to one server, which repeats nothing.

    Parameters
    ----------
    maxsize
        Connections that are kept.
    """
    return _ConnectionPool(host, port, maxsize=maxsize, retries=False)


def pool_manager(*, maxsize: int) -> urllib3.PoolManager:
    """Return pools for any server, which repeat nothing.

    Parameters
    ----------
    maxsize
        Connections that are kept for each server.
    """
    manager = urllib3.PoolManager(maxsize=maxsize, retries=False)
    manager.pool_classes_by_scheme = {
        **manager.pool_classes_by_scheme,
        "http": _ConnectionPool,
    }
    return manager
