import eventlet
import pytest

from zinniadyke import errors
from zinniadyke import listening
from zinniadyke import platform


class RawOrigin:
    """An origin that keeps connections alive and counts them."""

    def __init__(self, body):
        self.body = body
        self.open_connections = 0
        self.socket = listening.listen("127.0.0.1:0")
        self.address = listening.address_of(self.socket)
        self.task = eventlet.spawn(self.accept)

    def accept(self):
        while True:
            sock, _ = self.socket.accept()
            eventlet.spawn_n(self.serve, sock)

    def serve(self, sock):
        self.open_connections += 1
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}\r\n\r\n"
        try:
            while sock.recv(65536):
                sock.sendall(head.encode() + self.body)
        except OSError:
            pass
        self.open_connections -= 1


@pytest.fixture
def origin():
    raw_origin = RawOrigin(b"piece")
    yield raw_origin
    raw_origin.task.kill()
    raw_origin.socket.close()


def test_close_idle_closes_the_connections_to_the_origin(origin):
    """The origin accepts few connections, which hundreds of agents share."""
    client = platform.OriginClient(address=origin.address, connections=1)
    assert client.piece("m", 2, 0) == b"piece"
    assert client.piece("m", 2, 1) == b"piece"
    assert origin.open_connections == 1
    client.close_idle()
    eventlet.sleep(0.1)
    assert origin.open_connections == 0
    assert client.piece("m", 2, 2) == b"piece"


@pytest.mark.parametrize("digest", ["", "zz", "a" * 63, "g" * 64])
def test_manifest_with_an_invalid_digest_is_refused(digest):
    body = f'{{"model": "m", "version": 2, "digests": ["{digest}"]}}'.encode()
    raw_origin = RawOrigin(body)
    try:
        client = platform.OriginClient(
            address=raw_origin.address, connections=1
        )
        with pytest.raises(
            errors.WeightsError, match="digest that is not SHA-256"
        ):
            client.manifest("m", 2)
    finally:
        raw_origin.task.kill()
        raw_origin.socket.close()
