import collections

import pytest

from tests import clock
from zinniadyke.sidecar import _manifest

DIGESTS = ("a", "b")
HOSTS = [f"10.0.0.{n}" for n in range(8)]


@pytest.fixture
def fake_clock(monkeypatch):
    found = clock.Clock()

    def sleep(seconds):
        found.now += seconds

    monkeypatch.setattr(_manifest.time, "monotonic", found.monotonic)
    monkeypatch.setattr(_manifest.eventlet, "sleep", sleep)
    return found


def read(position, has=()):
    asked = []

    def ask(host):
        asked.append(host)
        return DIGESTS if host in has else None

    found = _manifest.read_digests(
        HOSTS, HOSTS[position], ask, lambda: "origin"
    )
    return found, asked


def test_host_order_is_same_on_all_hosts_and_varies_by_version():
    orders = {
        tuple(_manifest.host_order("m", 2, hosts))
        for hosts in (HOSTS, HOSTS[::-1])
    }
    assert len(orders) == 1
    firsts = {_manifest.host_order("m", v, HOSTS)[0] for v in range(40)}
    assert len(firsts) > 3


def test_first_host_reads_origin_without_asking_peers(fake_clock):
    assert read(0) == ("origin", [])


def test_later_host_gets_digests_from_ancestors(fake_clock):
    found, asked = read(7, has=HOSTS[:1])
    assert found == DIGESTS
    assert asked == [HOSTS[1], HOSTS[0]]


def test_no_host_has_more_children_than_fanout():
    hosts = [f"h{n}" for n in range(630)]
    asked = collections.Counter(
        _manifest.ancestors(hosts, me)[0] for me in hosts[1:]
    )
    assert max(asked.values()) <= _manifest.FANOUT
    assert _manifest.ancestors(hosts, "h0") == []
    for position, me in enumerate(hosts):
        assert all(
            hosts.index(host) < position
            for host in _manifest.ancestors(hosts, me)
        )


def test_hosts_read_origin_in_order_when_no_ancestor_has_digests(fake_clock):
    durations_s = []
    for position in range(8):
        started_at = fake_clock.now
        found, asked = read(position)
        assert found == "origin"
        assert len(set(asked)) <= _manifest.MAX_ANCESTORS
        durations_s.append(fake_clock.now - started_at)
    assert durations_s[1] == pytest.approx(
        _manifest.ORIGIN_STAGGER_S, abs=0.06
    )
    assert durations_s == sorted(durations_s)
    assert durations_s[-1] <= _manifest.MAX_ORIGIN_WAIT_S + 0.06
