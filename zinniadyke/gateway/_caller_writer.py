"""Writes to a caller, and keeps what the caller has not taken yet.

A target's slot is not held while a caller takes an answer that is complete,
and a stream is read from its target while its caller is slow.
"""

import collections
from collections.abc import Callable
import logging
import socket
import struct

import eventlet
from eventlet import event

from zinniadyke.gateway import _memory_budget
from zinniadyke.gateway import _send_progress

LOG = logging.getLogger(__name__)

# Events of streams that are kept for one caller. Beyond it, the stream is
# read from its target only as fast as the caller takes it.
MAX_UNSENT_BYTES = 256 << 10
# A caller that takes nothing is abandoned after the longest of these: as a
# multiple of the route's objective, in seconds, and as a multiple of the
# longest pause between events.
STALL_OBJECTIVES = 4
MIN_STALL_S = 2.0
STALL_GAPS = 8
# The same for responses without a route.
DEFAULT_STALL_S = 10.0
# Memory of a kept part beyond its bytes; events are small and many.
PART_OVERHEAD_BYTES = 256
# SO_LINGER with a timeout of 0 makes close() reset the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CallerGoneError(Exception):
    """The caller's connection is broken, or the caller takes nothing."""


class CallerWriter:
    """Writes to one caller's connection.

    Parameters
    ----------
    memory
        Account of the connection.
    on_gone
        Called once when the caller is gone while data waits for it.

    Attributes
    ----------
    stall_s
        Time without progress after which the caller is abandoned, in
        seconds.
    unsent_bytes
        Bytes that the kernel has not accepted.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        memory: _memory_budget.MemoryBudget,
        on_gone: Callable[[], None],
    ) -> None:
        """Start with nothing to write."""
        self.sock = sock
        self.memory = memory
        self.on_gone = on_gone
        self.stall_s = DEFAULT_STALL_S
        self.unsent_bytes = 0
        self.unsent: collections.deque[memoryview] = collections.deque()
        self.gone = False
        self.changed: event.Event = event.Event()
        self.task: eventlet.greenthread.GreenThread | None = None

    def write(self, data: bytes) -> None:
        """Send data, or keep the rest that the kernel does not accept.

        Raises
        ------
        CallerGoneError
            The caller is gone.
        """
        if self.gone:
            raise CallerGoneError
        rest = memoryview(data)
        if not self.unsent:
            rest = self._send_now(rest)
        if not rest:
            return
        self.unsent.append(rest)
        self.unsent_bytes += len(rest)
        # The whole object stays until its last byte is sent.
        self.memory.hold(_held_bytes(rest))
        if self.task is None:
            self.task = eventlet.spawn(self._run)

    def wait_for_room(self, size: int) -> None:
        """Wait until a part of a stream may be kept for the caller.

        Raises
        ------
        CallerGoneError
            The caller is gone.
        """
        while self.unsent and (
            self.unsent_bytes + size > MAX_UNSENT_BYTES
            or not self.memory.fits(size)
        ):
            self._wait_for_change()

    def flush(self) -> None:
        """Wait until the kernel has accepted everything.

        There is no limit as long as the caller takes bytes: an answer that
        is ready is delivered also if it is late.

        Raises
        ------
        CallerGoneError
            The caller is gone.
        """
        while self.unsent:
            self._wait_for_change()
        if self.gone:
            raise CallerGoneError

    def close(self) -> None:
        """Drop what is kept."""
        self.gone = True
        if self.task is not None:
            self.task.kill()
        self._drop()

    def _wait_for_change(self) -> None:
        self.changed.wait()
        if self.gone:
            raise CallerGoneError

    def _send_now(self, data: memoryview) -> memoryview:
        """Send what the kernel accepts at once; return the rest."""
        while data:
            try:
                sent = self.sock.fd.send(data)
            except BlockingIOError:
                break
            except OSError as error:
                self.gone = True
                raise CallerGoneError(str(error))
            data = data[sent:]
        return data

    def _run(self) -> None:
        """Send what is kept, until nothing is left."""
        try:
            while self.unsent:
                if not _send_progress.wait_writable(
                    self.sock.fd, self.stall_s
                ):
                    LOG.info(
                        "caller takes nothing",
                        extra={
                            "s": self.stall_s,
                            "unsent_bytes": self.unsent_bytes,
                        },
                    )
                    # The kernel drops what it holds for the caller too.
                    self.sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                    )
                    self._abandon()
                    return
                self._send_first()
                self._announce()
        except (CallerGoneError, OSError) as error:
            LOG.debug("caller connection lost", extra={"reason": str(error)})
            self._abandon()
        finally:
            self.task = None

    def _send_first(self) -> None:
        first = self.unsent[0]
        rest = self._send_now(first)
        self.unsent_bytes -= len(first) - len(rest)
        if rest:
            self.unsent[0] = rest
        else:
            self.unsent.popleft()
            self.memory.give_back(_held_bytes(first))

    def _abandon(self) -> None:
        self.gone = True
        self._drop()
        self._announce()
        self.on_gone()

    def _drop(self) -> None:
        self.memory.give_back(sum(map(_held_bytes, self.unsent)))
        self.unsent.clear()
        self.unsent_bytes = 0

    def _announce(self) -> None:
        changed, self.changed = self.changed, event.Event()
        changed.send()


def stall_s(objective_s: float, max_gap_s: float) -> float:
    """Return how long a caller may take nothing before it is abandoned.

    Load: callers that read slowly or with pauses. Callers give up by
    themselves after about four times the objective; a stream's caller may
    pause for several of its gaps.
    """
    return max(
        STALL_OBJECTIVES * objective_s, MIN_STALL_S, STALL_GAPS * max_gap_s
    )


def _held_bytes(part: memoryview) -> int:
    """Return the memory that a kept part occupies, in bytes."""
    return len(part.obj) + PART_OVERHEAD_BYTES
