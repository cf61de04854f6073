"""Samples how many replicas serve during a rollout."""

import time

import eventlet

from zinniadyke.demo import _cluster

SAMPLE_INTERVAL_S = 0.02


class ReplicaSampler:
    """Records when replicas begin to serve, and the fewest that served.

    Parameters
    ----------
    version
        Version whose replicas are counted for ``serving_times_s``.

    Attributes
    ----------
    min_serving
        Fewest replicas that served any version in one sample.
    serving_times_s
        Time from the start until 1, 2, .. replicas served the version, in
        seconds.
    """

    def __init__(self, *, cluster: _cluster.Cluster, version: str) -> None:
        """Start sampling."""
        self.cluster = cluster
        self.version = version
        self.started_at = time.monotonic()
        self.min_serving = cluster.count_serving_targets()
        self.serving_times_s: list[float] = []
        self.task = eventlet.spawn(self._run)

    def _run(self) -> None:
        while True:
            self.min_serving = min(
                self.min_serving, self.cluster.count_serving_targets()
            )
            serving = len(self.cluster.serving(self.version))
            while len(self.serving_times_s) < serving:
                self.serving_times_s.append(time.monotonic() - self.started_at)
            eventlet.sleep(SAMPLE_INTERVAL_S)
