"""One caller's connection: reads requests, writes answers in order."""

from collections.abc import Callable
import http.client
import logging
import socket
import time

import eventlet
from eventlet import hubs
from eventlet import queue
import greenlet

from zinniadyke import directory
from zinniadyke.gateway import _request
from zinniadyke.gateway import _request_parser

LOG = logging.getLogger(__name__)

READ_BYTES = 16384
# Requests that are read ahead of the one that is being answered.
READ_AHEAD = 4
# After the last answer the rest of what the caller sends is read for this
# long; closing with unread bytes would reset the answer on its way.
LINGER_S = 1.0
# Longest time that one write may wait for a caller that does not read.
WRITE_TIMEOUT_S = 10.0
# Shortest timer, so that one that is due still lets pending bytes in.
MIN_WAIT_S = 0.001


class CallerGoneError(Exception):
    """The caller closed its connection; nobody waits for the answer."""


class _SilentError(Exception):
    """The caller sent nothing within the time allowed."""


class Caller:
    """Serves one connection.

    Parameters
    ----------
    handle
        Called with each request and this connection; writes the answer.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        limits: directory.CallerLimits,
        handle: Callable,
    ) -> None:
        """Take over a connection that was accepted."""
        self.sock = sock
        self.limits = limits
        self.handle = handle
        self.parser = _request_parser.RequestParser(limits=limits)
        self.requests: queue.LightQueue = queue.LightQueue(READ_AHEAD)
        self.busy = False
        self.gone = False
        self.close_after = False
        self.head_sent = False
        self.chunked = False
        self.handler: greenlet.greenlet | None = None

    def serve(self) -> None:
        """Serve requests until the connection ends."""
        self.handler = greenlet.getcurrent()
        reader = eventlet.spawn(self._read)
        try:
            while not self.close_after:
                request = self.requests.get()
                if request is None:
                    return
                self.busy = True
                try:
                    self._answer(request)
                finally:
                    self.busy = False
            self._linger(reader)
        except CallerGoneError:
            pass
        except OSError as error:
            LOG.debug("caller lost", extra={"reason": str(error)})
        finally:
            reader.kill()
            self.sock.close()

    def end_when_idle(self) -> None:
        """Close now if no request is being read or answered."""
        self.close_after = True
        if (
            not self.busy
            and self.requests.empty()
            and self.parser.reading_since is None
        ):
            self.gone = True
            self._shut(socket.SHUT_RDWR)

    def send_whole(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Write a whole answer; ``headers`` hold no framing."""
        self.head_sent = True
        self._send(
            _head(status, headers, self.close_after)
            + b"content-length: %d\r\n\r\n" % len(body)
            + body
        )

    def send_bodiless(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Write an answer that has no body by its method or status."""
        self.head_sent = True
        self._send(_head(status, headers, self.close_after) + b"\r\n")

    def start_stream(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        first: bytes,
        chunked: bool,
    ) -> None:
        """Begin an answer whose parts come one by one."""
        self.head_sent = True
        self.chunked = chunked
        if not chunked:
            self.close_after = True
        head = _head(status, headers, self.close_after)
        if chunked:
            head += b"transfer-encoding: chunked\r\n"
        self._send(head + b"\r\n" + self._framed(first))

    def send_part(self, part: bytes) -> None:
        """Write a part of a streamed answer."""
        self._send(self._framed(part))

    def end_stream(self) -> None:
        """Mark a streamed answer as complete."""
        if self.chunked:
            self._send(b"0\r\n\r\n")

    def abort(self) -> None:
        """End the connection so that the answer looks incomplete."""
        self.close_after = True
        self.gone = True
        self._shut(socket.SHUT_RDWR)

    def _framed(self, part: bytes) -> bytes:
        if not part:
            return b""
        if not self.chunked:
            return part
        return b"%x\r\n%b\r\n" % (len(part), part)

    def _answer(self, request) -> None:
        self.head_sent = False
        self.chunked = False
        if isinstance(request, _request.RejectedRequest):
            self.close_after = True
            self.send_whole(request.status, [], request.reason.encode())
            return
        if not request.keep_alive:
            self.close_after = True
        self.handle(request, self)

    def _send(self, data: bytes) -> None:
        if self.gone:
            raise CallerGoneError
        try:
            with eventlet.Timeout(WRITE_TIMEOUT_S, CallerGoneError):
                self.sock.sendall(data)
        except OSError as error:
            raise CallerGoneError(str(error))

    def _read(self) -> None:
        try:
            while not self.parser.ended:
                data = self._receive()
                if data:
                    self.parser.feed(data)
                    self._go_ahead()
                elif not self.parser.ended:
                    break
                for request in self.parser.done:
                    self.requests.put(request)
                self.parser.done.clear()
            if self.parser.ended:
                # Keeps watching whether the caller is still there.
                while self.sock.recv(READ_BYTES):
                    pass
        except OSError as error:
            LOG.debug("caller lost", extra={"reason": str(error)})
        self._note_gone()

    def _receive(self) -> bytes:
        """Return what came; nothing at the end or when time is up."""
        while True:
            since = self.parser.reading_since
            limit_s = self.limits.idle_timeout_s
            if since is not None and not self.parser.in_body:
                limit_s = (
                    since + self.limits.header_timeout_s - time.monotonic()
                )
            try:
                hubs.trampoline(
                    self.sock,
                    read=True,
                    timeout=max(limit_s, MIN_WAIT_S),
                    timeout_exc=_SilentError,
                )
                return self.sock.recv(READ_BYTES)
            except _SilentError:
                if self.parser.reading_since is not None:
                    self.parser.time_out()
                    return b""
                if not self.busy and self.requests.empty():
                    return b""

    def _go_ahead(self) -> None:
        if self.parser.awaits_continue and not self.busy:
            self.parser.awaits_continue = False
            self.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _note_gone(self) -> None:
        self.gone = True
        if self.busy:
            hub = hubs.get_hub()
            hub.schedule_call_global(0, self._interrupt)
        else:
            self.requests.put(None)

    def _interrupt(self) -> None:
        if not self.busy:
            # The answer ended in between; the handler waits for a request.
            eventlet.spawn_n(self.requests.put, None)
        elif self.handler and not self.handler.dead:
            self.handler.throw(CallerGoneError)

    def _linger(self, reader) -> None:
        self._shut(socket.SHUT_WR)
        with eventlet.Timeout(LINGER_S, False):
            reader.wait()

    def _shut(self, how: int) -> None:
        try:
            self.sock.shutdown(how)
        except OSError as error:
            LOG.debug("already closed", extra={"reason": str(error)})


def _head(
    status: int, headers: list[tuple[bytes, bytes]], close: bool
) -> bytes:
    reason = http.client.responses.get(status, "Unknown")
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason.encode())]
    lines.extend(b"%b: %b\r\n" % pair for pair in headers)
    if close:
        lines.append(b"connection: close\r\n")
    return b"".join(lines)
