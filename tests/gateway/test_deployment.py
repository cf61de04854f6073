import pathlib

from tests.gateway import deployment as deploy

EPHEMERAL = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_free_ports_are_not_ephemeral():
    first, last = map(int, EPHEMERAL.read_text().split())
    found = {deploy.free_port() for _ in range(20)}
    assert len(found) == 20
    assert not any(first <= port <= last for port in found)
