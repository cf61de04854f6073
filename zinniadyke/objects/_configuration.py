"""All declared objects at one revision, indexed for look-up."""

import msgspec

from zinniadyke.objects import _key
from zinniadyke.objects import _registry
from zinniadyke.objects import _rollout


KeyedObjects = list[tuple[_key.ObjectKey, msgspec.Struct]]


class Configuration:
    """All declared objects at one revision, indexed by kind and scope.

    It is immutable once built, so the index stays valid and the cost of a
    request's look-ups does not grow with the number of objects.

    Parameters
    ----------
    revision
        Number that grows by one with each accepted change; 0 before the
        first.
    objects
        Declared objects by key.
    """

    def __init__(
        self,
        *,
        revision: int = 0,
        objects: dict[_key.ObjectKey, msgspec.Struct] | None = None,
    ) -> None:
        """Build the index."""
        self.revision = revision
        self.objects = objects or {}
        self.by_kind: dict[str, KeyedObjects] = {}
        self.by_scope: dict[tuple[str, str], KeyedObjects] = {}
        for key in sorted(self.objects):
            item = (key, self.objects[key])
            self.by_kind.setdefault(key.kind, []).append(item)
            scope = (key.kind, key.scope)
            self.by_scope.setdefault(scope, []).append(item)

    def get(self, kind: str, name: str, scope: str = ""):
        """Return the object with this key, or None."""
        return self.objects.get(
            _key.ObjectKey(kind=kind, scope=scope, name=name)
        )

    def of_kind(self, kind: str, scope: str | None = None) -> KeyedObjects:
        """Return the keys and objects of a kind, sorted by key."""
        if scope is None:
            return self.by_kind.get(kind, [])
        return self.by_scope.get((kind, scope), [])

    def models_of(self, service: str) -> list[str]:
        """Return the names of the models that a service serves."""
        return [
            key.name
            for key, model in self.of_kind("model")
            if model.service == service
        ]

    def rollouts_of(
        self, model: str
    ) -> list[tuple[_key.ObjectKey, _rollout.Rollout]]:
        """Return a model's rollouts by sequence and name, highest first."""
        found = [
            (key, rollout)
            for key, rollout in self.of_kind("rollout")
            if rollout.model == model
        ]
        found.sort(key=lambda item: (item[1].sequence, item[0].name))
        return found[::-1]

    def current_rollout(
        self, model: str
    ) -> tuple[_key.ObjectKey, _rollout.Rollout] | None:
        """Return the rollout in effect for a model, ignoring cancelled ones.

        Returns
        -------
        tuple of ObjectKey and Rollout, or None
            The one with the highest sequence; of equal ones, the one
            whose name sorts last.
        """
        for key, rollout in self.rollouts_of(model):
            if rollout.state is not _rollout.RolloutState.CANCELLED:
                return key, rollout
        return None

    def is_newest_rollout_cancelled(self, model: str) -> bool:
        """Return whether the newest rollout of a model was cancelled.

        Targets that serve a version then keep it; the previous rollout
        applies only to targets that serve nothing.
        """
        for _, rollout in self.rollouts_of(model):
            return rollout.state is _rollout.RolloutState.CANCELLED
        return False


def check_references(configuration: Configuration) -> list[str]:
    """Return one line for each reference that is not valid."""
    problems = []
    for key, value in configuration.objects.items():
        kind = _registry.KINDS[key.kind]
        referenced_kinds = dict(kind.references)
        for field, referenced_kind in referenced_kinds.items():
            name = getattr(value, field)
            if configuration.get(referenced_kind, name) is None:
                problems.append(f"{key}: no {referenced_kind} '{name}'")
        problems += _check_kind_rules(configuration, key, value)
        if kind.scope and configuration.get(kind.scope, key.scope) is None:
            problems.append(f"{key}: no {kind.scope} '{key.scope}'")
    return problems


def _check_kind_rules(configuration: Configuration, key, value) -> list[str]:
    if key.kind == "model":
        models = configuration.models_of(value.service)
        if models[0] != key.name:
            return [f"{key}: service '{value.service}' serves {models[0]}"]
    if key.kind == "rollout":
        version = configuration.get("version", value.version, value.model)
        if version is None:
            return [f"{key}: no version '{value.version}' of {value.model}"]
    if key.kind == "route" and bool(value.model) == bool(value.service):
        return [f"{key}: name either a model or a service"]
    for kind in ("model", "service"):
        name = getattr(value, kind, "")
        if key.kind == "route" and name:
            if configuration.get(kind, name) is None:
                return [f"{key}: no {kind} '{name}'"]
    return []
