import io

import msgspec
import pytest
import urllib3

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
