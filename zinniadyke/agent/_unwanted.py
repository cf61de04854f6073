"""Stages that no rollout wants any more, kept in case one does again."""

import time

from zinniadyke import weights


class UnwantedStages:
    """Keeps suspended stages until they are taken back or freed."""

    def __init__(self) -> None:
        """Start with none."""
        self.stages: dict[str, weights.StagingArea] = {}
        self.kept_at: dict[str, float] = {}

    def keep(self, name: str, stage: weights.StagingArea) -> None:
        """Suspend a stage and keep its chunks."""
        stage.suspend()
        self.stages[name] = stage
        self.kept_at[name] = time.monotonic()

    def take(self, name: str, digest: str) -> weights.StagingArea | None:
        """Return a version's stage, resumed; None if there is none.

        Parameters
        ----------
        digest
            Digest that the version is declared with now.
        """
        stage = self.stages.pop(name, None)
        if stage is None or stage.digest != digest:
            return None
        stage.resume()
        return stage

    def free(self, after_s: float) -> None:
        """Free what has been kept for ``after_s`` seconds."""
        before = time.monotonic() - after_s
        for name in list(self.stages):
            if self.kept_at[name] <= before:
                self.stages.pop(name).close()
