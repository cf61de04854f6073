"""Listening sockets, and whether another process listens."""

import functools
import socket
import weakref

import eventlet
from eventlet.green import socket as green_socket
from eventlet import greenio
from eventlet import hubs

from zinniadyke import green_sockets

# A host that answers does so within a few milliseconds.
CONNECT_TIMEOUT_S = 0.3


def listen(address: str) -> socket.socket:
    """Listen on ``ip:port``; port 0 selects a free port.

    Accepted connections send small writes at once (TCP_NODELAY). Otherwise
    tokens of a stream wait up to 40 ms for the peer's acknowledgement. Files
    made from them let others run while bytes arrive.

    Raises
    ------
    OSError
        The address cannot be used.
    """
    host, _, port = address.rpartition(":")
    listener = eventlet.listen((host, int(port)), reuse_port=False)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # A reference to itself would keep a socket open that nobody uses.
    listener.accept = functools.partial(_accept, weakref.ref(listener))
    return listener


def _accept(
    listener: weakref.ref[greenio.GreenSocket],
) -> tuple[socket.socket, object]:
    sock, address = greenio.GreenSocket.accept(listener())
    green_sockets.take_turns(sock)
    return sock, address


def accept_now(listening: greenio.GreenSocket) -> socket.socket | None:
    """Return a connection that is established by now; None if none is."""
    try:
        sock, _ = listening.fd.accept()
    except OSError:
        return None
    hubs.notify_opened(sock.fileno())
    return greenio.GreenSocket(sock)


def address_of(listening: socket.socket) -> str:
    """Return the ``ip:port`` that a socket listens on."""
    host, port = listening.getsockname()
    return f"{host}:{port}"


def refuses_connections(address: str) -> bool:
    """Whether no process listens at ``ip:port`` on a host that answers.

    A host that does not answer, as behind a cut, is not known to refuse.
    """
    host, _, port = address.rpartition(":")
    with green_socket.socket() as sock:
        sock.settimeout(CONNECT_TIMEOUT_S)
        try:
            sock.connect((host, int(port)))
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
    return False
