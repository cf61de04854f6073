import eventlet
import pytest

from zinniadyke import errors
from zinniadyke import listening
from zinniadyke import platform


class RawOrigin:
    """An origin that keeps connections open and counts them."""

    def __init__(self, body):
        self.body = body
        self.open = 0
        self.socket = listening.listen("127.0.0.1:0")
        self.address = listening.address_of(self.socket)
        self.task = eventlet.spawn(self.accept)

    def accept(self):
        while True:
            sock, _ = self.socket.accept()
            eventlet.spawn_n(self.serve, sock)

    def serve(self, sock):
        self.open += 1
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}\r\n\r\n"
        try:
            while sock.recv(65536):
                sock.sendall(head.encode() + self.body)
        except OSError:
            pass
        self.open -= 1


@pytest.fixture
def origin():
    made = RawOrigin(b"piece")
    yield made
    made.task.kill()
    made.socket.close()


def test_origin_keeps_no_connection_that_nobody_uses(origin):
    """It takes few, and hundreds of agents share them."""
    client = platform.OriginClient(address=origin.address, connections=1)
    assert client.piece("m", 2, 0) == b"piece"
    assert client.piece("m", 2, 1) == b"piece"
    assert origin.open == 1
    client.close_idle()
    eventlet.sleep(0.1)
    assert origin.open == 0
    assert client.piece("m", 2, 2) == b"piece"


@pytest.mark.parametrize("digest", ["", "zz", "a" * 63, "g" * 64])
def test_digests_that_are_none_are_refused(digest):
    body = f'{{"model": "m", "version": 2, "digests": ["{digest}"]}}'.encode()
    made = RawOrigin(body)
    try:
        client = platform.OriginClient(address=made.address, connections=1)
        with pytest.raises(errors.WeightsError, match="digests that are none"):
            client.manifest("m", 2)
    finally:
        made.task.kill()
        made.socket.close()
