"""Receiving from eventlet's sockets without its hiding of resets.

eventlet's own methods return no bytes after a reset, as after an orderly
close. An answer without a length that was broken off would look complete.
"""

from collections.abc import Callable
import functools
import socket
import weakref

from eventlet import greenio
from eventlet import hubs


def receive(sock: greenio.GreenSocket, method: Callable, timeout_s):
    """Receive from a socket by a method of the one that it wraps.

    Parameters
    ----------
    method
        Receives without waiting, as ``sock.fd.recv`` does.
    timeout_s
        Longest wait in seconds; None for no limit.

    Raises
    ------
    TimeoutError
        Nothing came in time.
    OSError
        The connection was reset.
    """
    while True:
        try:
            return method()
        except BlockingIOError:
            hubs.trampoline(
                sock.fd,
                read=True,
                timeout=timeout_s,
                timeout_exc=TimeoutError("timed out"),
            )


def raise_resets(sock: socket.socket) -> None:
    """Have files made from a socket raise an error after a reset.

    Sockets that are not eventlet's do so anyway.
    """
    if isinstance(sock, greenio.GreenSocket):
        # A reference to itself would keep a socket open that nobody uses.
        sock.recv_into = functools.partial(_receive_into, weakref.proxy(sock))


def _receive_into(
    sock: greenio.GreenSocket, buffer, size: int = 0, flags: int = 0
) -> int:
    return receive(
        sock,
        functools.partial(sock.fd.recv_into, buffer, size, flags),
        sock.gettimeout(),
    )
