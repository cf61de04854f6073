"""Distributes the digests of a version from the origin along a host tree.

Hundreds of agents may start at once, but the origin accepts few connections,
and the digests for all agents together are more bytes than the weights. So
one host reads the origin, and each other host asks its ancestors.
"""

from collections.abc import Callable
import time

import eventlet

from zinniadyke import ids
from zinniadyke import rendezvous

Digests = tuple[str, ...]

# Each host waits this much longer than the one before it in the order, until
# it reads the origin itself.
ORIGIN_STAGGER_S = 0.4
# No host waits longer before it reads the origin itself.
MAX_ORIGIN_WAIT_S = 2.5
# Hosts that use the same host as their parent.
FANOUT = 4
# A host also asks its parent's ancestors, in case the parent is down.
MAX_ANCESTORS = 3
# Pause between rounds of asking all ancestors.
POLL_INTERVAL_S = 0.05


def host_order(
    model: ids.ModelName, version: ids.WeightsVersion, hosts: list[str]
) -> list[str]:
    """Return the hosts in the order of a version's digest tree."""
    return sorted(
        hosts, key=lambda h: rendezvous.weight(model, str(version), h)
    )


def ancestors(hosts: list[str], me: str) -> list[str]:
    """Return the ancestors that a host asks, the parent first."""
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
        All hosts including this one, as :func:`host_order` returns them.
    ask_peer
        Returns the digests that a host has; None if it has none.
    read_origin
        Returns the digests from the origin.

    Raises
    ------
    WeightsError
        No ancestor has the digests, and the origin does not answer.
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
