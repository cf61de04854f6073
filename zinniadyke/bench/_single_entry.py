"""Cluster with one entry and one model, and Poisson arrivals."""

from collections.abc import Iterator
import random
import time

import eventlet

from zinniadyke import demo
from zinniadyke import objects

POLL_INTERVAL_S = 0.02


def build_cluster(
    *, targets: int, classes: list[str], checks_fencing: bool, seed: int
) -> demo.Cluster:
    """Return a cluster with one entry, not started yet."""
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


def apply_declarations(cluster: demo.Cluster, declarations: str) -> None:
    """Apply declarations; wait until the entry can use every target."""
    cluster.operator_client().send("apply", declarations)
    while not cluster.reaches_all_targets(cluster.entries[0]):
        eventlet.sleep(POLL_INTERVAL_S)


def poisson_arrivals(
    rate_per_s: float, start_time: float, rng: random.Random
) -> Iterator[float]:
    """Sleep until each request is due, then yield its due time.

    Parameters
    ----------
    rate_per_s
        Mean requests per second; the intervals are exponential.
    start_time
        Monotonic start time, in seconds.
    """
    due_time = start_time
    while True:
        due_time += rng.expovariate(rate_per_s)
        eventlet.sleep(max(0.0, due_time - time.monotonic()))
        yield due_time
