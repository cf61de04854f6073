"""Strategies that choose the sources of a chunk: production and baselines."""

import random

from zinniadyke import ids
from zinniadyke import platform
from zinniadyke import rendezvous
from zinniadyke import weights

Hosts = list[platform.Host]


def direct(
    placement: weights.Placement,
    index: int,
    me: ids.HostName,
    origin_copies: float,
) -> Hosts:
    """Read every chunk from the origin."""
    return []


def chain(
    placement: weights.Placement,
    index: int,
    me: ids.HostName,
    origin_copies: float,
) -> Hosts:
    """Request from the preceding hosts, in one order for all chunks."""
    order = [host for zone in placement.zones for host in zone]
    position = [host.name for host in order].index(me)
    return order[:position][::-1]


def rotated_chain(
    placement: weights.Placement,
    index: int,
    me: ids.HostName,
    origin_copies: float,
) -> Hosts:
    """Request from the preceding hosts, in an order rotated by chunk."""
    order = [host for zone in placement.order(index) for host in zone]
    position = [host.name for host in order].index(me)
    return order[:position][::-1]


def permuted_tree(
    placement: weights.Placement,
    index: int,
    me: ids.HostName,
    origin_copies: float,
) -> Hosts:
    """Request from the ancestors in a binary tree, permuted per chunk."""
    hosts = [host for zone in placement.zones for host in zone]
    order = sorted(hosts, key=lambda h: rendezvous.weight(str(index), h.name))
    position = [host.name for host in order].index(me)
    ancestors = []
    while position > 0:
        position = (position - 1) // weights.ARITY
        ancestors.append(order[position])
    return ancestors


def random_earlier(
    placement: weights.Placement,
    index: int,
    me: ids.HostName,
    origin_copies: float,
) -> Hosts:
    """Request from the preceding hosts of the rotation in random order."""
    order = [host for zone in placement.order(index) for host in zone]
    position = [host.name for host in order].index(me)
    earlier = order[:position]
    random.Random(f"{me}/{index}").shuffle(earlier)
    return earlier


STRATEGIES = {
    "tree": weights.candidates,
    "direct": direct,
    "chain": chain,
    "rotated-chain": rotated_chain,
    "permuted-tree": permuted_tree,
    "random": random_earlier,
}
