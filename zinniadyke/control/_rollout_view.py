"""Snapshot of a rollout and its targets for one controller tick."""

import msgspec

from zinniadyke.control import _target_state
from zinniadyke import objects
from zinniadyke import peers
from zinniadyke import platform


class RolloutView(msgspec.Struct, frozen=True, kw_only=True):
    """A rollout and the statuses of its targets in one controller tick.

    Attributes
    ----------
    hosts
        Targets of the service that the platform lists.
    statuses
        Status of each target that answered, by host.
    """

    key: objects.ObjectKey
    rollout: objects.Rollout
    hosts: list[platform.Host]
    statuses: dict[str, peers.Status]

    @property
    def version(self) -> str:
        """``model/version`` that the rollout activates."""
        return f"{self.rollout.model}/{self.rollout.version}"

    @property
    def wanted(self) -> int:
        """Number of targets that are to serve the version."""
        if self.rollout.replicas <= 0:
            return len(self.hosts)
        return min(self.rollout.replicas, len(self.hosts))

    @property
    def floor(self) -> int:
        """Number of targets that must keep serving."""
        return min(self.rollout.floor, max(len(self.hosts) - 1, 0))

    @property
    def serving(self) -> int:
        """Number of targets that serve the version."""
        return sum(
            _target_state.is_serving_version(status, self.version)
            for status in self.statuses.values()
        )

    @property
    def staged(self) -> int:
        """Number of targets that have staged the version."""
        return sum(self.version in s.staged for s in self.statuses.values())

    @property
    def down(self) -> set[str]:
        """Names of the targets that do not serve any version."""
        serving = {
            host
            for host, status in self.statuses.items()
            if _target_state.is_serving(status)
        }
        return {host.name for host in self.hosts} - serving

    def activation_candidates(self, held: bool) -> list[peers.Status]:
        """Return the statuses of targets that can activate the version.

        Targets that do not serve come first, as activating them takes no
        replica out of service.

        Parameters
        ----------
        held
            Whether the newest rollout of the model was cancelled.
        """
        found = [
            status
            for status in self.statuses.values()
            if self.version in status.staged
            and _target_state.can_activate(status, self.version, held)
        ]
        return sorted(found, key=_target_state.is_serving)
