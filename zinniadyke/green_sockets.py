"""Receiving from eventlet's sockets in turns, and without hiding resets.

eventlet's own methods return no bytes after a reset, as after an orderly
close. An answer without a length that was broken off would look complete. They
also return without letting other green threads run while bytes are there.
"""

from collections.abc import Callable
import functools
import socket
import weakref

from eventlet import greenio
from eventlet import hubs

from zinniadyke import turns


def receive(sock: greenio.GreenSocket, method: Callable, timeout_s):
    """Receive from a socket by a method of the one that it wraps.

    Others have their turn however fast bytes arrive.

    Parameters
    ----------
    method
        Receives without waiting, as ``sock.fd.recv`` does; returns bytes,
        their number, or a datagram and its sender.
    timeout_s
        Longest wait in seconds; None for no limit.

    Raises
    ------
    TimeoutError
        Nothing came in time.
    OSError
        The connection was reset.
    """
    turns.yield_if_due()
    while True:
        try:
            received = method()
        except BlockingIOError:
            hubs.trampoline(
                sock.fd,
                read=True,
                timeout=timeout_s,
                timeout_exc=TimeoutError("timed out"),
            )
            turns.end()
        else:
            turns.record(_size_of(received))
            return received


def _size_of(received: bytes | int | tuple[bytes, object]) -> int:
    """Return the number of bytes that a socket's method has received."""
    if isinstance(received, int):
        return received
    data = received[0] if isinstance(received, tuple) else received
    return len(data)


def raise_resets(sock: socket.socket) -> None:
    """Have files made from a socket raise an error after a reset.

    Sockets that are not eventlet's do so anyway.
    """
    if isinstance(sock, greenio.GreenSocket):
        # A reference to itself would keep a socket open that nobody uses.
        sock.recv_into = functools.partial(_receive_into, weakref.proxy(sock))


def take_turns(sock: greenio.GreenSocket) -> None:
    """Have files made from a socket let others run while bytes arrive.

    They end after a reset, as eventlet's servers expect.
    """
    sock.recv_into = functools.partial(
        _receive_into_until_reset, weakref.proxy(sock)
    )


def _receive_into_until_reset(
    sock: greenio.GreenSocket, buffer, size: int = 0, flags: int = 0
) -> int:
    try:
        return _receive_into(sock, buffer, size, flags)
    except ConnectionError:
        return 0


def _receive_into(
    sock: greenio.GreenSocket, buffer, size: int = 0, flags: int = 0
) -> int:
    return receive(
        sock,
        functools.partial(sock.fd.recv_into, buffer, size, flags),
        sock.gettimeout(),
    )
