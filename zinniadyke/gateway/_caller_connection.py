"""A caller's connection: reads requests and writes responses in order."""

from collections.abc import Callable
import functools
import http.client
import logging
import socket
import time

import eventlet
from eventlet import hubs
from eventlet import queue
import greenlet

from zinniadyke import directory
from zinniadyke import errors
from zinniadyke.gateway import _caller_writer
from zinniadyke.gateway import _memory_budget
from zinniadyke.gateway import _request
from zinniadyke.gateway import _request_parser
from zinniadyke.gateway import _send_progress
from zinniadyke import green_sockets
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

READ_BYTES = 16384
# Requests read ahead of the one that is being served.
MAX_PIPELINED_REQUESTS = 4
# Time to drain the caller's remaining bytes after the last response; closing
# with unread bytes would reset the connection and lose the response.
LINGER_S = 1.0
# The same after a refusal whose body was not read and may still be on its way
# over a slow link.
REFUSED_LINGER_S = 5.0
# Lower bound of read timeouts, so that pending bytes are read even if the
# limit has passed.
MIN_TIMEOUT_S = 0.001
# Among requests: the connection ends if it is still idle.
CLOSE_IF_IDLE = object()


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the response ended."""


class _ReadTimeoutError(Exception):
    """The caller sent nothing within the timeout."""


class CallerConnection:
    """Serves the requests of one connection.

    Parameters
    ----------
    read_limits
        Returns the limits in force.
    handle_request
        Called with each request and this connection; writes the response.
    memory
        Account for what the connection holds.

    Attributes
    ----------
    responding
        Whether a request is being served.
    disconnected
        Whether the caller, or this side, has ended the connection.
    close_after_response
        Whether the connection ends after the response that begins next.
    close_announced
        Whether it ends after the current response, whose head says so or
        which is broken off. Without that, the caller may send on.
    head_sent
        Whether the head of the current response was sent.
    streams
        Whether a streamed response has begun and not ended.
    chunked
        Whether the current response uses chunked framing.
    ends_by_close
        Whether only the connection's end marks that of the current response.
    resets
        Whether the connection ends by a reset.
    broken_off
        Whether this side has broken off a stream.
    idle_since
        Monotonic time of the last response, or of the connection's begin.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        read_limits: Callable[[], directory.CallerLimits],
        handle_request: Callable,
        memory: _memory_budget.MemoryBudget,
    ) -> None:
        """Prepare to serve an accepted connection."""
        self.sock = sock
        self.handle_request = handle_request
        self.memory = memory
        self.parser = _request_parser.RequestParser(
            read_limits=read_limits, memory=memory
        )
        self.writer = _caller_writer.CallerWriter(
            sock=sock, memory=memory, on_gone=self._mark_disconnected
        )
        self.linger_s = LINGER_S
        self.requests: queue.LightQueue = queue.LightQueue(
            MAX_PIPELINED_REQUESTS
        )
        self.responding = False
        self.disconnected = False
        self.close_after_response = False
        self.close_announced = False
        self.head_sent = False
        self.streams = False
        self.chunked = False
        self.ends_by_close = False
        self.resets = False
        self.broken_off = False
        self.handler_greenlet: greenlet.greenlet | None = None
        self.reader: greenlet.greenlet | None = None
        self.idle_since = time.monotonic()

    def serve(self) -> None:
        """Serve requests until the connection ends."""
        self.handler_greenlet = greenlet.getcurrent()
        self.reader = reader = eventlet.spawn(self._read)
        closes_idle = False
        try:
            while True:
                request = self.requests.get()
                if request is None:
                    return
                if request is CLOSE_IF_IDLE:
                    if self.idle:
                        closes_idle = True
                        break
                    continue
                self.responding = True
                try:
                    self._respond(request)
                finally:
                    self.responding = False
                    self.idle_since = time.monotonic()
                    self._give_back(request)
                if self.close_announced:
                    break
            if not self.resets:
                self._linger(reader)
            if closes_idle:
                crossed = not self.requests.empty()
                telemetry.count(
                    telemetry.Metric.STOP_CLOSED,
                    label="crossed" if crossed else "idle",
                )
        except CallerDisconnectedError:
            pass
        except OSError as error:
            LOG.debug("caller connection lost", extra={"reason": str(error)})
        finally:
            reader.kill()
            self.writer.close()
            self.memory.give_back(self.memory.held)
            self.sock.close()

    @property
    def idle(self) -> bool:
        """Whether no request is served, waits or has arrived in part."""
        return (
            not self.responding
            and self.requests.empty()
            and self.parser.reading_since is None
            and not self._has_unread()
        )

    def close_if_idle(self, idle_s: float) -> None:
        """Close the connection after its response, or if it is idle by now.

        Writing ends first, so that the caller sees an orderly end.

        Parameters
        ----------
        idle_s
            Time without a request, also since it was accepted, after which
            it is taken for idle, in seconds. The first request on a new
            connection may be on its way.
        """
        self.close_after_response = True
        if self.idle and time.monotonic() - self.idle_since >= idle_s:
            self.requests.put(CLOSE_IF_IDLE)

    def _has_unread(self) -> bool:
        """Whether bytes have arrived that were not read yet."""
        try:
            return bool(self.sock.fd.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def interrupt(self, error: errors.RequestError) -> bool:
        """End the current request; return whether there was one to end.

        Its response becomes the error if nothing was sent yet, and a break if
        a stream has begun. A complete response that the caller still reads is
        left. A request that has arrived in part is refused as too slow.
        """
        if not self.responding:
            if not self._arrives:
                return False
            hubs.get_hub().schedule_call_global(0, self._end_reading)
            return True
        if not self.head_sent:
            hubs.get_hub().schedule_call_global(0, self._interrupt, error)
            return True
        if self.streams:
            self.broken_off = True
            eventlet.spawn_n(self._break_off)
            return True
        return False

    @property
    def _arrives(self) -> bool:
        """Whether the next request has arrived in part."""
        return (
            not self.responding
            and self.requests.empty()
            and self.parser.reading_since is not None
            and not self.parser.ended
        )

    def _end_reading(self) -> None:
        if self._arrives and not self.reader.dead:
            self.reader.throw(_ReadTimeoutError)

    def _interrupt(self, error: errors.RequestError) -> None:
        if self.responding and not self.head_sent:
            self.handler_greenlet.throw(error)

    def _break_off(self) -> None:
        try:
            self.abort()
        except CallerDisconnectedError as left:
            LOG.debug("caller has left", extra={"reason": str(left)})

    def send_response(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Write a complete response; ``headers`` contain no framing."""
        self.head_sent = True
        self._send(
            self._encode_head(status, headers)
            + b"content-length: %d\r\n\r\n" % len(body)
            + body
        )

    def send_bodiless(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Write a response whose method or status allows no body."""
        self.head_sent = True
        self._send(self._encode_head(status, headers) + b"\r\n")

    def start_stream(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        first: bytes,
        chunked: bool,
    ) -> None:
        """Start a response whose parts follow one by one."""
        self.head_sent = True
        self.streams = True
        self.chunked = chunked
        if not chunked:
            self.ends_by_close = True
            self.close_after_response = True
        head = self._encode_head(status, headers)
        if chunked:
            head += b"transfer-encoding: chunked\r\n"
        self._send(head + b"\r\n" + self._encode_part(first))

    def send_part(self, part: bytes) -> None:
        """Write a part of a streamed response.

        Waits while too much is kept for a caller that reads slowly.
        """
        data = self._encode_part(part)
        try:
            self.writer.wait_for_room(len(data))
        except _caller_writer.CallerGoneError as error:
            raise CallerDisconnectedError(str(error))
        self._send(data)

    def end_stream(self) -> None:
        """Mark a streamed response as complete."""
        self.streams = False
        if self.chunked:
            self._send(b"0\r\n\r\n")

    def abort(self) -> None:
        """End the connection so that the response looks incomplete.

        What was ready before is delivered first.
        """
        self.flush()
        self.close_announced = True
        if self.ends_by_close:
            # A reset drops what the kernel still holds for the caller.
            _send_progress.wait_acknowledged(self.sock.fd, LINGER_S)
            self.sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                _caller_writer.RESET_ON_CLOSE,
            )
            self.resets = self.disconnected = True
            return
        self.disconnected = True
        self._shut_down_socket(socket.SHUT_RDWR)

    def flush(self) -> None:
        """Wait until the caller has taken the response.

        Raises
        ------
        CallerDisconnectedError
            The caller left or takes nothing.
        """
        try:
            self.writer.flush()
        except _caller_writer.CallerGoneError as error:
            raise CallerDisconnectedError(str(error))

    def _encode_head(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> bytes:
        self.close_announced = self.close_after_response
        return _encode_head(status, headers, self.close_announced)

    def _encode_part(self, part: bytes) -> bytes:
        if not part:
            return b""
        if not self.chunked:
            return part
        return b"%x\r\n%b\r\n" % (len(part), part)

    def _respond(self, request) -> None:
        self.head_sent = False
        self.streams = False
        self.chunked = False
        self.ends_by_close = False
        if isinstance(request, _request.RejectedRequest):
            self.close_after_response = True
            self.send_response(request.status, [], request.reason.encode())
            self.flush()
            return
        if request.refusal is not None:
            self.linger_s = REFUSED_LINGER_S
        if not request.keep_alive:
            self.close_after_response = True
        self.handle_request(request, self)

    def _send(self, data: bytes) -> None:
        if self.disconnected:
            raise CallerDisconnectedError
        try:
            self.writer.write(data)
        except _caller_writer.CallerGoneError as error:
            raise CallerDisconnectedError(str(error))

    def _give_back(self, request) -> None:
        """Stop counting a request that has ended."""
        if isinstance(request, _request.CallerRequest):
            self.memory.give_back(request.held_bytes)

    def _read(self) -> None:
        try:
            while not self.parser.ended:
                data = self._receive()
                if data:
                    self.parser.feed(data)
                    self._send_continue()
                elif not self.parser.ended:
                    break
                for request in self.parser.parsed:
                    self.requests.put(request)
                self.parser.parsed.clear()
            if self.parser.ended:
                # Keep reading, to detect that the caller disconnects.
                while green_sockets.receive(
                    self.sock,
                    functools.partial(self.sock.fd.recv, READ_BYTES),
                    timeout_s=None,
                ):
                    pass
        except OSError as error:
            LOG.debug("caller connection lost", extra={"reason": str(error)})
        self._mark_disconnected()

    def _receive(self) -> bytes:
        """Return received bytes; empty at the end or after a timeout."""
        while True:
            since = self.parser.reading_since
            limit_s = self.parser.limits.idle_timeout_s
            if since is not None and not self.parser.in_body:
                limit_s = (
                    since
                    + self.parser.limits.header_timeout_s
                    - time.monotonic()
                )
            try:
                hubs.trampoline(
                    self.sock,
                    read=True,
                    timeout=max(limit_s, MIN_TIMEOUT_S),
                    timeout_exc=_ReadTimeoutError,
                )
                return self.sock.recv(READ_BYTES)
            except _ReadTimeoutError:
                if self.parser.reading_since is not None:
                    self.parser.time_out()
                    return b""
                if not self.responding and self.requests.empty():
                    return b""

    def _send_continue(self) -> None:
        if self.parser.expects_continue and not self.responding:
            self.parser.expects_continue = False
            self.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _mark_disconnected(self) -> None:
        self.disconnected = True
        if self.responding:
            hub = hubs.get_hub()
            hub.schedule_call_global(0, self._cancel_response)
        else:
            self.requests.put(None)

    def _cancel_response(self) -> None:
        if not self.responding:
            # The response has ended since; the handler waits for a request.
            eventlet.spawn_n(self.requests.put, None)
        elif self.handler_greenlet and not self.handler_greenlet.dead:
            self.handler_greenlet.throw(CallerDisconnectedError)

    def _linger(self, reader) -> None:
        self._shut_down_socket(socket.SHUT_WR)
        with eventlet.Timeout(self.linger_s, False):
            reader.wait()

    def _shut_down_socket(self, how: int) -> None:
        try:
            self.sock.shutdown(how)
        except OSError as error:
            LOG.debug(
                "connection already closed", extra={"reason": str(error)}
            )


def _encode_head(
    status: int, headers: list[tuple[bytes, bytes]], close: bool
) -> bytes:
    reason = http.client.responses.get(status, "Unknown")
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason.encode())]
    lines.extend(b"%b: %b\r\n" % pair for pair in headers)
    if close:
        lines.append(b"connection: close\r\n")
    return b"".join(lines)
