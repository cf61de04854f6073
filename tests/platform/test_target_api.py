import eventlet
import msgspec
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


@pytest.fixture
def read_manifest():
    """Return a function that reads a manifest with a given body."""
    opened = []

    def read(body, **options):
        raw_origin = RawOrigin(body)
        opened.append(raw_origin)
        client = platform.OriginClient(
            address=raw_origin.address, connections=1
        )
        return client.manifest("m", 2, **options)

    yield read
    for raw_origin in opened:
        raw_origin.task.kill()
        raw_origin.socket.close()


def manifest(model="m", version=2, digests=("a" * 64, "b" * 64)):
    return msgspec.json.encode(
        {"model": model, "version": version, "digests": digests}
    )


def test_manifest_with_a_digest_less_or_more_is_refused(read_manifest):
    """Guards against loading a version without one of its pieces."""
    for piece_count in (1, 3):
        with pytest.raises(platform.PieceCountError, match="2 digests for"):
            read_manifest(manifest(), piece_count=piece_count)
    found = read_manifest(manifest(), piece_count=2)
    assert found.digests == ("a" * 64, "b" * 64)


def test_manifest_is_taken_if_the_configuration_names_no_number(
    read_manifest,
):
    assert len(read_manifest(manifest(), piece_count=0).digests) == 2
    with pytest.raises(platform.PieceCountError):
        read_manifest(manifest(digests=()), piece_count=0)


@pytest.mark.parametrize("other", [{"model": "n"}, {"version": 3}])
def test_manifest_of_something_else_is_refused(read_manifest, other):
    with pytest.raises(errors.WeightsError, match="manifest is for"):
        read_manifest(manifest(**other), piece_count=2)


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
            client.manifest("m", 2, piece_count=1)
    finally:
        raw_origin.task.kill()
        raw_origin.socket.close()
