"""Listening sockets for HTTP."""

import socket

import eventlet


def listen(address: str) -> socket.socket:
    """Listen on ``ip:port``; port 0 selects a free port.

    Accepted connections send small writes at once (TCP_NODELAY). Otherwise
    tokens of a stream wait up to 40 ms for the peer's acknowledgement.

    Raises
    ------
    OSError
        The address cannot be used.
    """
    host, _, port = address.rpartition(":")
    listener = eventlet.listen((host, int(port)), reuse_port=False)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def address_of(listening: socket.socket) -> str:
    """Return the ``ip:port`` that a socket listens on."""
    host, port = listening.getsockname()
    return f"{host}:{port}"
