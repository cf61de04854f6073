"""A configuration that is in force, with the look-ups made on it."""

import msgspec

from zinniadyke.objects import _key
from zinniadyke.objects import _registry
from zinniadyke.objects import _rollout


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """All declared objects at one revision.

    Attributes
    ----------
    revision
        Grows by one with each accepted change; 0 before the first.
    """

    revision: int = 0
    objects: dict[_key.ObjectKey, msgspec.Struct] = {}

    def get(self, kind: str, name: str, scope: str = ""):
        """Return one object or None."""
        return self.objects.get(
            _key.ObjectKey(kind=kind, scope=scope, name=name)
        )

    def of_kind(self, kind: str, scope: str | None = None):
        """Yield key and object of a kind, in the order of their keys."""
        for key in sorted(self.objects):
            if key.kind != kind:
                continue
            if scope is None or key.scope == scope:
                yield key, self.objects[key]

    def models_of(self, service: str) -> list[str]:
        """Return the names of the models that a service serves."""
        return [
            key.name
            for key, model in self.of_kind("model")
            if model.service == service
        ]

    def current_rollout(
        self, model: str
    ) -> tuple[_key.ObjectKey, _rollout.Rollout] | None:
        """Return the rollout that holds for a model, cancelled ones aside.

        Returns
        -------
        tuple of ObjectKey and Rollout, or None
            The one with the highest sequence, then the last name.
        """
        found = [
            (rollout.sequence, key.name, key, rollout)
            for key, rollout in self.of_kind("rollout")
            if rollout.model == model
            and rollout.state is not _rollout.RolloutState.CANCELLED
        ]
        if not found:
            return None
        _, _, key, rollout = max(found, key=lambda item: item[:2])
        return key, rollout


def check_references(configuration: Configuration) -> list[str]:
    """Return one line for each object that names something undeclared."""
    faults = []
    for key, value in configuration.objects.items():
        kind = _registry.KINDS[key.kind]
        wanted = dict(kind.references)
        for field, other in wanted.items():
            name = getattr(value, field)
            if configuration.get(other, name) is None:
                faults.append(f"{key}: no {other} '{name}'")
        if kind.scope and configuration.get(kind.scope, key.scope) is None:
            faults.append(f"{key}: no {kind.scope} '{key.scope}'")
    return faults
