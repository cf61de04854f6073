"""Deployment with one entry and one model, and requests in open loop."""

from collections.abc import Iterator
import random
import time

import eventlet

from zinniadyke import demo
from zinniadyke import objects

POLL_S = 0.02


def build_cluster(
    *, targets: int, classes: list[str], checks_fencing: bool, seed: int
) -> demo.Cluster:
    """Return a cluster of one entry that is not started yet."""
    deployment = demo.Deployment(
        name="bench",
        region="egypt",
        zones=["cairo"],
        model="drafting",
        model_service=demo.ServiceSpec(name="drafting", targets=targets),
        plain_services=[],
        classes=classes,
        checks_fencing=checks_fencing,
        favour=objects.Favour.ORIGIN,
        floor=0,
        entries=1,
    )
    return demo.Cluster(deployment=deployment, seed=seed)


def declare(cluster: demo.Cluster, text: str) -> None:
    """Apply declarations and wait until every target serves."""
    cluster.operator_client().send("apply", text)
    while not cluster.reaches_all_targets(cluster.entries[0]):
        eventlet.sleep(POLL_S)


def arrivals(
    rate: float, begun: float, chance: random.Random
) -> Iterator[float]:
    """Yield when requests are due, each once its time has come.

    Parameters
    ----------
    rate
        Requests a second, at exponential intervals.
    begun
        Monotonic time of the start, in seconds.
    """
    due = begun
    while True:
        due += chance.expovariate(rate)
        eventlet.sleep(max(0.0, due - time.monotonic()))
        yield due
