"""How much the requests of two scopes compete for the same targets."""

from collections.abc import Callable

from zinniadyke.gateway import _scope
from zinniadyke.gateway import _target_state
from zinniadyke.gateway import _target_table

States = list[_target_state.TargetState]


class Competition:
    """Targets of the scopes that one decision is about.

    Load: waiting requests that may use different targets, of which those
    without a free slot must not hold up the others. Made for one decision,
    whose cost grows with the scopes that wait and not with the requests.
    """

    def __init__(self, *, target_table: _target_table.TargetTable) -> None:
        """Start without any scope's targets."""
        self.target_table = target_table
        self.found: dict[_scope.Scope, States] = {}

    def targets(self, scope: _scope.Scope) -> States:
        """Return the targets that a request of a scope may use."""
        if scope not in self.found:
            self.found[scope] = self.target_table.candidates(scope, [])
        return self.found[scope]

    def overlaps(self, scope: _scope.Scope) -> Callable[[_scope.Scope], float]:
        """Return :meth:`overlap` with a scope."""
        return lambda other: self.overlap(scope, other)

    def capacity_part(self, scope: _scope.Scope) -> float:
        """Return the part of the service's slots that a scope may use."""
        used = self.target_table.used.get(scope.service, ())
        if len(used) == len(self.targets(scope)):
            return 1.0
        available = self.target_table.available_targets(scope.service)
        total = sum(state.request_capacity for state in available)
        own = sum(state.request_capacity for state in self.targets(scope))
        return min(own / total, 1.0) if total else 1.0

    def overlap(self, scope: _scope.Scope, other: _scope.Scope) -> float:
        """Return the part of another scope's targets that a scope shares."""
        if scope == other:
            return 1.0
        others = self.targets(other)
        if not others:
            return 0.0
        own = {state.target.id for state in self.targets(scope)}
        return sum(s.target.id in own for s in others) / len(others)
