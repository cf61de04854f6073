"""A rollout with its targets, as a controller sees them at one moment."""

import msgspec

from zinniadyke.control import _target_state
from zinniadyke import objects
from zinniadyke import peers
from zinniadyke import platform


class RolloutView(msgspec.Struct, frozen=True, kw_only=True):
    """What one tick of a controller is decided on.

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
        """``model/version`` that the rollout brings."""
        return f"{self.rollout.model}/{self.rollout.version}"

    @property
    def wanted(self) -> int:
        """Number of targets that the rollout wants."""
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
            _target_state.serves(status, self.version)
            for status in self.statuses.values()
        )

    @property
    def staged(self) -> int:
        """Number of targets that have staged the version."""
        return sum(self.version in s.staged for s in self.statuses.values())

    @property
    def down(self) -> set[str]:
        """Targets that do not serve anything."""
        serving = {
            host
            for host, status in self.statuses.items()
            if _target_state.is_serving(status)
        }
        return {host.name for host in self.hosts} - serving

    def ready(self, held: bool) -> list[peers.Status]:
        """Return the targets that may be told to serve the version.

        Those that do not serve come first; they cost no replica.
        """
        found = [
            status
            for status in self.statuses.values()
            if self.version in status.staged
            and _target_state.may_swap(status, self.version, held)
        ]
        return sorted(found, key=_target_state.is_serving)
