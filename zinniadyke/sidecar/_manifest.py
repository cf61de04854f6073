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
TURN_S = 0.4
MAX_WAIT_S = 2.5
# Each host passes the digests on to so many, which ask it and, should it be
# gone, its own sources; and the pause between rounds.
CHILDREN = 4
SOURCES = 3
POLL_S = 0.05


def order(
    model: ids.ModelName, version: ids.WeightsVersion, hosts: list[str]
) -> list[str]:
    """Return the order in which hosts read a version's digests."""
    return sorted(
        hosts, key=lambda h: rendezvous.weight(model, str(version), h)
    )


def sources(hosts: list[str], me: str) -> list[str]:
    """Return whom a host of the order asks, the nearest first."""
    found = []
    place = hosts.index(me)
    while place > 0 and len(found) < SOURCES:
        place = (place - 1) // CHILDREN
        found.append(hosts[place])
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
    turn_s = min(hosts.index(me) * TURN_S, MAX_WAIT_S)
    until = time.monotonic() + turn_s
    while time.monotonic() < until:
        for host_ip in sources(hosts, me):
            found = ask_peer(host_ip)
            if found:
                return found
        eventlet.sleep(POLL_S)
    return read_origin()
