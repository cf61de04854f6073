"""A small HTTP server for the stand-ins."""

from collections.abc import Callable
from collections.abc import Iterable
import logging
from typing import NoReturn

import eventlet
from eventlet import wsgi
import msgspec

from zinniadyke import listening

QUIET = logging.getLogger("zinniadyke.fakes")
QUIET.addHandler(logging.NullHandler())
QUIET.propagate = False

Environ = dict
StartResponse = Callable[..., object]


class HttpServer:
    """Serves one WSGI application on an IP number and port.

    Parameters
    ----------
    application
        The WSGI application.
    address
        ``ip:port``; port 0 takes a free one.
    """

    def __init__(self, *, application: Callable, address: str) -> None:
        """Bind the socket and start to accept."""
        self.socket = listening.listen(address)
        self.address = listening.address_of(self.socket)
        self.url = f"http://{self.address}"
        self.thread = eventlet.spawn(
            wsgi.server,
            self.socket,
            application,
            log=QUIET,
            log_output=False,
            debug=False,
            minimum_chunk_size=1,
        )

    def stop(self) -> None:
        """Stop accepting at once, as a process that dies would."""
        self.socket.close()
        self.thread.kill()


def answer(
    start_response: StartResponse,
    status: str,
    body: bytes = b"",
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Send a whole answer."""
    every = [*headers, ("Content-Length", str(len(body)))]
    start_response(status, every)
    return [body]


def answer_json(
    start_response: StartResponse, value: object, status: str = "200 OK"
) -> list[bytes]:
    """Send a value as JSON."""
    return answer(
        start_response,
        status,
        msgspec.json.encode(value),
        [("Content-Type", "application/json")],
    )


def abort() -> NoReturn:
    """Break the connection without an answer."""
    raise ConnectionResetError("fault: the answer is lost")


def read_body(environ: Environ) -> bytes:
    """Read the whole body of a request."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return environ["wsgi.input"].read(length) if length else b""
