"""Stand-in of a target that answers byte by byte as a test says."""

from collections.abc import Callable
import socket
import struct

import eventlet

from zinniadyke import listening

READ_BYTES = 65536
# SO_LINGER on with no time: closing resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Exchange:
    """One request at a scripted target, and the means to answer it."""

    def __init__(self, *, sock: socket.socket, data: bytes) -> None:
        """Hold the connection and the request's bytes."""
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
        """Id of the request."""
        return self.headers.get("x-zinniadyke-request-id", "")

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.sock.sendall(data)

    def head(self, status: int = 200, framing: str = "", **more: str) -> None:
        """Send a head with the request's id and a signature."""
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
        """Send a whole answer."""
        self.head(status, f"Content-Length: {len(body)}", **more)
        self.send(body)

    def chunk(self, data: bytes) -> None:
        """Send one chunk; an empty one ends the answer."""
        self.send(b"%x\r\n%b\r\n" % (len(data), data))

    def reset(self) -> None:
        """Reset the connection."""
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        self.sock.close()

    def wait_closed(self, timeout_s: float) -> bool:
        """Whether the other side closes within a time, in seconds."""
        self.sock.settimeout(timeout_s)
        try:
            return self.sock.recv(1) == b""
        except TimeoutError:
            return False


class ScriptedTarget:
    """Accepts connections and plays a script for each request.

    Parameters
    ----------
    script
        Called with each exchange; the connection is closed after it.

    Attributes
    ----------
    seen
        Exchanges so far.
    """

    def __init__(
        self,
        *,
        script: Callable[[Exchange], None],
        address: str = "127.0.0.1:0",
    ) -> None:
        """Listen."""
        self.script = script
        self.seen: list[Exchange] = []
        self.socket = listening.listen(address)
        self.address = listening.address_of(self.socket)
        self.thread = eventlet.spawn(self._accept)

    def stop(self) -> None:
        """Stop accepting."""
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
