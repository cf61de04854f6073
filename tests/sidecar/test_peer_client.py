import io

import eventlet
import msgspec
import pytest
import urllib3

from tests.gateway import deployment as deploy
from zinniadyke import listening
from zinniadyke.sidecar import _peer_client


def test_timeout_for_digests_is_shorter_than_for_pieces(monkeypatch):
    """A frozen peer delays the hosts that wait for the first readers."""
    asked = []

    def request(self, method, path, *, headers, timeout, **_):
        asked.append((path, timeout.connect_timeout, timeout.read_timeout))
        return urllib3.HTTPResponse(status=404, preload_content=False)

    monkeypatch.setattr(
        _peer_client.urllib3.HTTPConnectionPool, "request", request
    )
    client = _peer_client.PeerClient(port=1)
    assert client.digests("10.0.0.1", "m", 2, piece_count=1) is None
    ((path, connect_s, read_s),) = asked
    assert path == "/manifest?model=m&version=2"
    assert max(connect_s, read_s) <= _peer_client.DIGESTS_TIMEOUT_S
    assert _peer_client.DIGESTS_TIMEOUT_S < _peer_client.READ_TIMEOUT_S / 4


@pytest.mark.parametrize("digests", [["a" * 64], ["a" * 64, "b" * 63], []])
def test_digests_of_a_peer_that_are_not_whole_are_refused(
    monkeypatch, digests
):
    """Guards against digests that a peer has taken from a spoilt manifest."""

    def request(self, method, path, **_):
        return urllib3.HTTPResponse(
            io.BytesIO(msgspec.json.encode(digests)),
            status=200,
            preload_content=False,
        )

    monkeypatch.setattr(
        _peer_client.urllib3.HTTPConnectionPool, "request", request
    )
    client = _peer_client.PeerClient(port=1)
    assert client.digests("10.0.0.1", "m", 2, piece_count=2) is None


class CountingPeers:
    """Agents on loopback addresses that count their open connections."""

    def __init__(self, count):
        self.port = deploy.free_port()
        self.ips = [f"127.8.0.{n + 1}" for n in range(count)]
        self.open = 0
        self.sockets = [
            listening.listen(f"{ip}:{self.port}") for ip in self.ips
        ]
        self.tasks = [eventlet.spawn(self.accept, s) for s in self.sockets]

    def accept(self, listener):
        while True:
            sock, _ = listener.accept()
            eventlet.spawn_n(self.serve, sock)

    def serve(self, sock):
        self.open += 1
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 68\r\n\r\n"
        while sock.recv(65536):
            sock.sendall(answer + msgspec.json.encode(["a" * 64]))
        self.open -= 1

    def stop(self):
        for task in self.tasks:
            task.kill()
        for sock in self.sockets:
            sock.close()


def test_connections_are_kept_to_the_latest_hosts_only(monkeypatch):
    """Guards against descriptors that run out in a large fleet."""
    monkeypatch.setattr(_peer_client, "MAX_POOLS", 4)
    peers = CountingPeers(12)
    client = _peer_client.PeerClient(port=peers.port)
    try:
        for _ in range(2):
            for ip in peers.ips:
                assert client.digests(ip, "m", 2, piece_count=1)
        assert list(client.pools) == peers.ips[-4:]
        assert deploy.wait_until(lambda: peers.open == 4)
    finally:
        peers.stop()


def test_call_goes_on_whose_host_is_no_longer_among_the_latest(monkeypatch):
    monkeypatch.setattr(_peer_client, "MAX_POOLS", 1)
    peers = CountingPeers(4)
    client = _peer_client.PeerClient(port=peers.port)
    try:
        pool = eventlet.GreenPool(4)
        found = pool.imap(
            lambda ip: client.digests(ip, "m", 2, piece_count=1), peers.ips
        )
        assert list(found) == [("a" * 64,)] * 4
        assert deploy.wait_until(lambda: peers.open <= 1)
    finally:
        peers.stop()
