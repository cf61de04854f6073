import collections

import pytest

from tests import clock
from zinniadyke.sidecar import _manifest

DIGESTS = ("a", "b")
HOSTS = [f"10.0.0.{n}" for n in range(8)]


@pytest.fixture
def moving(monkeypatch):
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


def test_all_hosts_agree_on_one_that_reads_the_origin():
    orders = {
        tuple(_manifest.host_order("m", 2, hosts))
        for hosts in (HOSTS, HOSTS[::-1])
    }
    assert len(orders) == 1
    firsts = {_manifest.host_order("m", v, HOSTS)[0] for v in range(40)}
    assert len(firsts) > 3


def test_first_host_asks_nobody_else(moving):
    assert read(0) == ("origin", [])


def test_later_hosts_get_them_from_those_before(moving):
    found, asked = read(7, has=HOSTS[:1])
    assert found == DIGESTS
    assert asked == [HOSTS[1], HOSTS[0]]


def test_no_host_passes_them_on_to_many():
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


def test_hosts_read_the_origin_in_turn_when_nobody_has_them(moving):
    took = []
    for position in range(8):
        started_at = moving.now
        found, asked = read(position)
        assert found == "origin"
        assert len(set(asked)) <= _manifest.MAX_ANCESTORS
        took.append(moving.now - started_at)
    assert took[1] == pytest.approx(_manifest.ORIGIN_STAGGER_S, abs=0.06)
    assert took == sorted(took)
    assert took[-1] <= _manifest.MAX_ORIGIN_WAIT_S + 0.06
