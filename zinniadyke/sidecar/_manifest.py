"""Reads the digests of a version: one host from the origin, others from it.

Load it answers: hundreds of agents that begin at once. The origin takes few
connections, and all digests together are more bytes than the weights.
"""

from collections.abc import Callable
import time

import eventlet

from zinniadyke import ids
from zinniadyke import rendezvous

Digests = tuple[str, ...]

# Each host in the order waits this much longer than the one before it until
# it reads the origin itself, up to the second figure.
ORIGIN_STAGGER_S = 0.4
MAX_ORIGIN_WAIT_S = 2.5
# Each host passes the digests on to so many, which ask it and, should it be
# gone, its own sources; and the pause between rounds.
FANOUT = 4
MAX_ANCESTORS = 3
POLL_INTERVAL_S = 0.05


def host_order(
    model: ids.ModelName, version: ids.WeightsVersion, hosts: list[str]
) -> list[str]:
    """Return the order in which hosts read a version's digests."""
    return sorted(
        hosts, key=lambda h: rendezvous.weight(model, str(version), h)
    )


def ancestors(hosts: list[str], me: str) -> list[str]:
    """Return whom a host of the order asks, the nearest first."""
    found = []
    position = hosts.index(me)
    while position > 0 and len(found) < MAX_ANCESTORS:
        position = (position - 1) // FANOUT
        found.append(hosts[position])
    return found


def read_digests(
    hosts: list[str],
    me: str,
    ask_peer: Callable[[str], Digests | None],
    read_origin: Callable[[], Digests],
) -> Digests:
    """Return a version's digests.

    Parameters
    ----------
    hosts
        All hosts in their order, with this one.

    Raises
    ------
    WeightsError
        Nobody has them, and the origin does not answer.
    """
    wait_s = min(hosts.index(me) * ORIGIN_STAGGER_S, MAX_ORIGIN_WAIT_S)
    deadline = time.monotonic() + wait_s
    while time.monotonic() < deadline:
        for host_ip in ancestors(hosts, me):
            found = ask_peer(host_ip)
            if found:
                return found
        eventlet.sleep(POLL_INTERVAL_S)
    return read_origin()
