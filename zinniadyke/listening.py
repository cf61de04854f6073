"""Listening sockets for HTTP."""

import socket

import eventlet


def listen(address: str) -> socket.socket:
    """Listen on ``ip:port``; port 0 takes a free one.

    Accepted connections send small parts at once (TCP_NODELAY); else a
    stream's tokens wait up to 40 ms for the peer's acknowledgement.

    Raises
    ------
    OSError
        The address cannot be used.
    """
    host, _, port = address.rpartition(":")
    made = eventlet.listen((host, int(port)), reuse_port=False)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return made


def address_of(listening: socket.socket) -> str:
    """Return the ``ip:port`` that a socket listens on."""
    host, port = listening.getsockname()
    return f"{host}:{port}"
