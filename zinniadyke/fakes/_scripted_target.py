"""Fake target whose responses a test writes byte by byte."""

from collections.abc import Callable
import socket
import struct

import eventlet

from zinniadyke import listening

READ_BYTES = 65536
# SO_LINGER with a timeout of 0 makes close() reset the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Exchange:
    """A request to a scripted target and its connection."""

    def __init__(self, *, sock: socket.socket, data: bytes) -> None:
        """Parse the request."""
        self.sock = sock
        head, _, self.body = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.request_line = lines[0]
        self.headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }

    @property
    def request_id(self) -> str:
        """Request id from the headers, or an empty string."""
        return self.headers.get("x-zinniadyke-request-id", "")

    def send(self, data: bytes) -> None:
        """Send raw bytes."""
        self.sock.sendall(data)

    def head(self, status: int = 200, framing: str = "", **more: str) -> None:
        """Send status and headers, with the request id and a server stamp.

        Parameters
        ----------
        framing
            Complete header line that gives the length of the body.
        more
            Further headers, with ``_`` for ``-`` in their names. Headers
            with an empty value are left out.
        """
        headers = {
            "X-Zinniadyke-Request-Id": self.request_id,
            "X-Zinniadyke-Server-Stamp": "stamp",
            **{n.replace("_", "-"): v for n, v in more.items()},
        }
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{n}: {v}" for n, v in headers.items() if v]
        if framing:
            lines.append(framing)
        self.send(("\r\n".join(lines) + "\r\n\r\n").encode())

    def answer(self, status: int = 200, body: bytes = b"", **more) -> None:
        """Send a complete response."""
        self.head(status, f"Content-Length: {len(body)}", **more)
        self.send(body)

    def chunk(self, data: bytes) -> None:
        """Send one chunk; an empty chunk ends the response."""
        self.send(b"%x\r\n%b\r\n" % (len(data), data))

    def reset(self) -> None:
        """Reset the connection."""
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        self.sock.close()

    def wait_closed(self, timeout_s: float) -> bool:
        """Return whether the peer closes the connection within the timeout."""
        self.sock.settimeout(timeout_s)
        try:
            return self.sock.recv(1) == b""
        except TimeoutError:
            return False


class ScriptedTarget:
    """Accepts connections and runs a script for each request.

    Parameters
    ----------
    script
        Called with each exchange; the connection closes when it returns.

    Attributes
    ----------
    seen
        Exchanges received so far.
    """

    def __init__(
        self,
        *,
        script: Callable[[Exchange], None],
        address: str = "127.0.0.1:0",
    ) -> None:
        """Start listening."""
        self.script = script
        self.seen: list[Exchange] = []
        self.socket = listening.listen(address)
        self.address = listening.address_of(self.socket)
        self.thread = eventlet.spawn(self._accept)

    def stop(self) -> None:
        """Stop accepting connections."""
        self.thread.kill()
        self.socket.close()

    def _accept(self) -> None:
        while True:
            sock, _ = self.socket.accept()
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        data = b""
        while b"\r\n\r\n" not in data:
            part = sock.recv(READ_BYTES)
            if not part:
                sock.close()
                return
            data += part
        exchange = Exchange(sock=sock, data=data)
        length = int(exchange.headers.get("content-length", 0))
        while len(exchange.body) < length:
            exchange.body += sock.recv(READ_BYTES)
        self.seen.append(exchange)
        try:
            self.script(exchange)
        finally:
            sock.close()
