"""Waits until a peer takes bytes that were sent to it."""

import fcntl
import socket
import struct
import termios
import time

import eventlet
from eventlet import hubs

# Looks at the peer's progress in each period in which it may take nothing.
CHECKS_PER_STALL = 8
# Lower bound of a wait, in seconds, so that a socket that is ready is used
# even if the time has passed.
MIN_WAIT_S = 0.001
ACKNOWLEDGED_CHECK_S = 0.005


def wait_acknowledged(sock: socket.socket, timeout_s: float) -> bool:
    """Wait until the peer has acknowledged what was sent; False if late."""
    deadline = time.monotonic() + timeout_s
    while _queued_bytes(sock):
        if time.monotonic() >= deadline:
            return False
        eventlet.sleep(ACKNOWLEDGED_CHECK_S)
    return True


def wait_writable(
    sock: socket.socket, stall_s: float, timeout_s: float = float("inf")
) -> bool:
    """Wait until a socket accepts bytes; return False if it does not.

    The kernel reports a socket as writable only when a third of its buffer,
    which may have megabytes, is free. A peer that reads slowly but steadily
    would seem to take nothing, so acknowledged bytes count as progress too.

    Parameters
    ----------
    sock
        A non-blocking socket.
    stall_s
        Longest time without progress, in seconds.
    timeout_s
        Longest time of the wait, in seconds.
    """
    progress_at = time.monotonic()
    deadline = progress_at + timeout_s
    queued_bytes = _queued_bytes(sock)
    while True:
        end = min(progress_at + stall_s, deadline)
        wait_s = min(stall_s / CHECKS_PER_STALL, end - time.monotonic())
        try:
            hubs.trampoline(
                sock,
                write=True,
                timeout=max(wait_s, MIN_WAIT_S),
                timeout_exc=TimeoutError,
            )
            return True
        except TimeoutError:
            now = time.monotonic()
            before, queued_bytes = queued_bytes, _queued_bytes(sock)
            if queued_bytes < before:
                progress_at = now
            if now >= min(progress_at + stall_s, deadline):
                return False


def _queued_bytes(sock: socket.socket) -> int:
    """Return the bytes that the peer's host has not acknowledged."""
    found = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    return struct.unpack("i", found)[0]
