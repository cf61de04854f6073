"""HTTP server and response helpers for the fakes."""

from collections.abc import Callable
from collections.abc import Iterable
import logging
from typing import NoReturn

import eventlet
from eventlet import wsgi
import msgspec

from zinniadyke import listening

NULL_LOGGER = logging.getLogger("zinniadyke.fakes")
NULL_LOGGER.addHandler(logging.NullHandler())
NULL_LOGGER.propagate = False

Environ = dict
StartResponse = Callable[..., object]


class HttpServer:
    """Serves one WSGI application on an IP address and port.

    Parameters
    ----------
    application
        The WSGI application.
    address
        ``ip:port``; port 0 selects a free port.
    """

    def __init__(self, *, application: Callable, address: str) -> None:
        """Bind the socket and start accepting connections."""
        self.socket = listening.listen(address)
        self.address = listening.address_of(self.socket)
        self.url = f"http://{self.address}"
        self.thread = eventlet.spawn(
            wsgi.server,
            self.socket,
            application,
            log=NULL_LOGGER,
            log_output=False,
            debug=False,
            minimum_chunk_size=1,
        )

    def stop(self) -> None:
        """Close the socket without draining, as a killed process would."""
        self.socket.close()
        self.thread.kill()


def answer(
    start_response: StartResponse,
    status: str,
    body: bytes = b"",
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Send a complete response."""
    all_headers = [*headers, ("Content-Length", str(len(body)))]
    start_response(status, all_headers)
    return [body]


def answer_json(
    start_response: StartResponse, value: object, status: str = "200 OK"
) -> list[bytes]:
    """Send a value as a JSON response."""
    return answer(
        start_response,
        status,
        msgspec.json.encode(value),
        [("Content-Type", "application/json")],
    )


def abort_connection() -> NoReturn:
    """Break the connection before the response is complete."""
    raise ConnectionResetError(
        "injected fault: connection closed without a response"
    )


def read_body(environ: Environ) -> bytes:
    """Return the body of a request."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return environ["wsgi.input"].read(length) if length else b""
