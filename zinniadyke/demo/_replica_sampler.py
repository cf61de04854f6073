"""Samples how many replicas serve while a rollout goes on."""

import time

import eventlet

from zinniadyke.demo import _cluster

SAMPLE_S = 0.02


class ReplicaSampler:
    """Records when replicas begin to serve, and the fewest that served."""

    def __init__(self, *, cluster: _cluster.Cluster, version: str) -> None:
        """Start to sample."""
        self.cluster = cluster
        self.version = version
        self.begun = time.monotonic()
        self.min_serving = cluster.serving_any()
        self.times_s: list[float] = []
        self.task = eventlet.spawn(self._run)

    def _run(self) -> None:
        while True:
            self.min_serving = min(
                self.min_serving, self.cluster.serving_any()
            )
            serving = len(self.cluster.serving(self.version))
            while len(self.times_s) < serving:
                self.times_s.append(time.monotonic() - self.begun)
            eventlet.sleep(SAMPLE_S)
