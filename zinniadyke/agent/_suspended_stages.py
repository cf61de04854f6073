"""Stages of versions that no rollout wants, kept for reuse."""

import time

from zinniadyke import weights


class SuspendedStages:
    """Keeps suspended stages until they are resumed or freed."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self.stages: dict[str, weights.StagingArea] = {}
        self.suspended_at: dict[str, float] = {}

    def keep(self, name: str, stage: weights.StagingArea) -> None:
        """Suspend a stage and keep its chunks."""
        stage.suspend()
        self.stages[name] = stage
        self.suspended_at[name] = time.monotonic()

    def take(self, name: str, digest: str) -> weights.StagingArea | None:
        """Remove and resume a version's stage; None if there is none.

        Parameters
        ----------
        digest
            Digest in the version's current declaration. A stage with
            another digest is not resumed.
        """
        stage = self.stages.pop(name, None)
        if stage is None or stage.digest != digest:
            return None
        stage.resume()
        return stage

    def free_older_than(self, age_s: float) -> None:
        """Free the stages suspended at least ``age_s`` seconds ago."""
        cutoff = time.monotonic() - age_s
        for name in list(self.stages):
            if self.suspended_at[name] <= cutoff:
                self.stages.pop(name).close()
