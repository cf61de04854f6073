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
    assert client.digests("10.0.0.1", "m", 2) is None
    ((path, connect_s, read_s),) = asked
    assert path == "/manifest?model=m&version=2"
    assert max(connect_s, read_s) <= _peer_client.DIGESTS_TIMEOUT_S
    assert _peer_client.DIGESTS_TIMEOUT_S < _peer_client.READ_TIMEOUT_S / 4
