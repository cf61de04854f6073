"""Table of the targets known to an entry, with their load and health."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import logging
import time

from zinniadyke import directory
from zinniadyke import errors
from zinniadyke.gateway import _cold_source
from zinniadyke.gateway import _scope
from zinniadyke.gateway import _target_state
from zinniadyke import ids
from zinniadyke import requests
from zinniadyke import telemetry
from zinniadyke import uptime

LOG = logging.getLogger(__name__)

# Targets with older weights get no new requests from this long before the
# bound on, because a request may queue in the engine before it starts.
VERSION_MARGIN_S = 0.5
# A request that has not started on older weights this long before the bound
# is withdrawn and sent elsewhere.
START_MARGIN_S = 0.2
# Interval between checks whether targets are still cold.
LIMITS_INTERVAL_S = 0.02
# The limit of a target that is no longer listed is kept for this time.
UNLISTED_LIMIT_S = 60.0


class TargetTable:
    """States of all targets, synchronized with the directory.

    Parameters
    ----------
    version_bound_s
        Time after a version becomes the desired one until no request may
        start on older weights, in seconds.
    select_targets
        Returns those targets of a service with engines that this entry
        uses; the others serve only while none of these does.
    regions
        Region of each availability zone.
    make_cold_limit
        Returns the limit of a service's targets while they are cold; None if
        they have none.

    Attributes
    ----------
    used
        States of the targets of each service that this entry uses.
    by_address
        States of all targets by address; after a restart of a target there
        may be two.
    """

    def __init__(
        self,
        *,
        view: directory.View,
        version_bound_s: float,
        select_targets: Callable[
            [list[directory.Target]], list[directory.Target]
        ] = lambda targets: targets,
        regions: Mapping[str, str] | None = None,
        make_cold_limit: Callable[
            [directory.Service], requests.ColdLimit | None
        ] = lambda service: None,
    ) -> None:
        """Load the targets of the directory and follow its changes."""
        self.view = view
        self.version_bound_s = version_bound_s
        self.select_targets = select_targets
        self.regions = regions or {}
        self.used: dict[ids.ServiceName, list[_target_state.TargetState]] = {}
        self.by_address: dict[str, list[_target_state.TargetState]] = {}
        self.indexed_targets: dict | None = None
        self.indexed_services: dict | None = None
        self.indexed_evacuated: frozenset | None = None
        self.states: dict[ids.TargetId, _target_state.TargetState] = {}
        # Targets that are no longer listed and are closed or name a limit, by
        # identity and start; they may be listed again.
        self.unlisted: dict[
            tuple[ids.TargetId, int], _target_state.TargetState
        ] = {}
        self.make_cold_limit = make_cold_limit
        self.cold_limits: dict[ids.ServiceName, requests.ColdLimit] = {}
        self.limits_updated_at = float("-inf")
        self.by_address: dict[str, list[_target_state.TargetState]] = {}
        view.on_change.append(self.refresh)
        self.refresh()

    def refresh(self) -> None:
        """Apply the directory's targets; a restarted one gets a new state."""
        targets = self.view.targets or {}
        configuration = self.view.configuration
        services = configuration.services if configuration else {}
        evacuated = self.view.evacuated_zones
        if (
            targets is self.indexed_targets
            and services is self.indexed_services
            and evacuated is self.indexed_evacuated
        ):
            return
        self.indexed_targets, self.indexed_services = targets, services
        self.indexed_evacuated = evacuated
        if self.view.follows_evacuations:
            telemetry.gauge(telemetry.Metric.EVACUATED_ZONES, len(evacuated))
        limits = {n: self.make_cold_limit(s) for n, s in services.items()}
        self.cold_limits = {n: c for n, c in limits.items() if c is not None}
        for name in self.states.keys() - targets.keys():
            self._remember_unlisted(self.states.pop(name))
        # An entry of an unknown service outdates no target.
        latest_start_ms = _latest_starts_ms(
            t for t in targets.values() if t.service in services
        )
        for name, target in targets.items():
            state = known = self.states.get(name)
            if state is None or (
                state.target.incarnation != target.incarnation
            ):
                state = self._make_state(target)
                self.states[name] = state
            else:
                state.target = target
            state.set_cold_limit(self.cold_limits.get(target.service))
            self._record_cold(state, known, target)
            state.outdated = (
                0 < target.born_ms < latest_start_ms.get(target.address, 0)
            )
            state.evacuated = target.zone in evacuated
            state.excluded = target.leaving or state.evacuated
        self._index()

    def _make_state(
        self, target: directory.Target
    ) -> _target_state.TargetState:
        state = _target_state.TargetState(target=target)
        known = self.unlisted.pop(target.incarnation, None)
        if known is not None:
            state.copy_restrictions(known)
        return state

    def _record_cold(
        self,
        state: _target_state.TargetState,
        known: _target_state.TargetState | None,
        target: directory.Target,
    ) -> None:
        """Record for how long a registration says that its target is cold.

        Parameters
        ----------
        known
            State of the target's id before; another one after a restart.
        """
        cold_s = target.cold_remaining_s
        if cold_s is not None and cold_s != state.registered_cold_s:
            state.record_cold(cold_s, _cold_source.ColdSource.REGISTRATION)
        state.registered_cold_s = cold_s
        if state is known or cold_s is not None:
            return
        earlier = [known] if known is not None else []
        earlier += self.by_address.get(target.address, ())
        if any(s.target.born_ms < target.born_ms for s in earlier):
            state.record_restart(None)

    def _index(self) -> None:
        self.by_address = {}
        by_service: dict[ids.ServiceName, list[directory.Target]] = {}
        for state in self.states.values():
            target = state.target
            self.by_address.setdefault(target.address, []).append(state)
            by_service.setdefault(target.service, []).append(target)
        self.used = {
            service: [
                self.states[t.id]
                for t in (
                    self.select_targets(targets)
                    if self.has_engine(service)
                    else targets
                )
            ]
            for service, targets in by_service.items()
        }

    def used_hosts(self) -> set[str]:
        """Return the hosts of the engines that this entry uses."""
        return {
            state.target.host_ip
            for service, states in self.used.items()
            if self.has_engine(service)
            for state in states
        }

    def agent_hosts(self) -> set[str]:
        """Return the hosts of all engines, each of which has an agent."""
        return {
            state.target.host_ip
            for state in self.states.values()
            if self.has_engine(state.target.service)
            and not state.target.leaving
        }

    def _remember_unlisted(self, state: _target_state.TargetState) -> None:
        now = time.monotonic()
        state.unlisted_at = now
        self.unlisted[state.target.incarnation] = state
        self.unlisted = {
            incarnation: s
            for incarnation, s in self.unlisted.items()
            if s.closed
            or s.cold
            or (
                s.limit_per_s is not None
                and now < s.unlisted_at + UNLISTED_LIMIT_S
            )
        }

    def update_limits(self) -> None:
        """Apply the limits of targets that are cold now, or no more."""
        if not self.cold_limits:
            return
        now = time.monotonic()
        if now < self.limits_updated_at + LIMITS_INTERVAL_S:
            return
        self.limits_updated_at = now
        for service in self.cold_limits:
            for state in self.used.get(service, ()):
                state.update_limit()

    def is_current(self, state: _target_state.TargetState) -> bool:
        """Whether the target is still registered and not draining."""
        found = self.states.get(state.target.id)
        return found is state and not state.target.leaving

    def candidates(
        self, scope: _scope.Scope, tried: list[ids.TargetId]
    ) -> list[_target_state.TargetState]:
        """Return the targets that may run a request.

        Ejected targets are included only if all others are excluded.
        """
        # Without an engine, targets hold no weights and serve any request.
        holds_weights = self.has_engine(scope.service)
        least = self.min_version(scope.model) if holds_weights else 0
        used = self.used.get(scope.service, [])
        found = self._able_targets(used, scope, tried, least, holds_weights)
        if not found:
            others = [
                s
                for s in self.states.values()
                if s.target.service == scope.service
            ]
            for state in others if self.cold_limits else ():
                state.update_limit()
            found = self._able_targets(
                others,
                scope,
                tried,
                least,
                holds_weights,
            )
        available_targets = [
            s for s in found if not s.ejected and not s.switching
        ]
        return available_targets or [s for s in found if not s.switching]

    def _able_targets(
        self,
        states: list[_target_state.TargetState],
        scope: _scope.Scope,
        tried: list[ids.TargetId],
        least: int,
        holds_weights: bool,
    ) -> list[_target_state.TargetState]:
        """Return those of some targets that may run a request."""
        able = [
            state
            for state in states
            if self.accepts_requests(state)
            and state.target.id not in tried
            and (
                not holds_weights
                or state.held_version(scope.model) >= max(least, 1)
            )
        ]
        if scope.allowed_regions is None:
            return able
        return [s for s in able if scope.allows(self.region_of(s))]

    def region_of(self, state: _target_state.TargetState) -> str:
        """Return the region of a target; empty if its zone is unknown."""
        return self.regions.get(state.target.zone, "")

    def accepts_requests(self, state: _target_state.TargetState) -> bool:
        """Whether a target may be sent requests at all.

        Load: targets that leave, whose zone is evacuated, whose address
        belongs to another one, or that have asked this host to stay away.
        """
        return not (state.excluded or state.replaced or state.closed)

    def may_still_send(
        self, scope: _scope.Scope, state: _target_state.TargetState
    ) -> str:
        """Return why a chosen target may get no request; empty if it may.

        Load: what was learned while a connection to the target was made, or
        while this host stood still. A target that is no longer listed is not
        refreshed, so the zone is compared here.
        """
        if state.target.zone in self.view.evacuated_zones:
            return "the target's zone is evacuated"
        if not scope.allows(self.region_of(state)):
            return "the target's region is not allowed"
        return ""

    def explain_no_target(self, scope: _scope.Scope) -> errors.ResultCode:
        """Return the result code of a request without any target."""
        present = [
            s
            for s in self.states.values()
            if s.target.service == scope.service
            and scope.allows(self.region_of(s))
            and not (s.target.leaving or s.replaced)
        ]
        if present:
            if all(s.evacuated for s in present):
                return errors.ResultCode.ZONES_EVACUATED
        elif scope.allowed_regions is not None:
            return errors.ResultCode.REGION_UNAVAILABLE
        return errors.ResultCode.NO_TARGET

    def has_open_target(self, service: ids.ServiceName) -> bool:
        """Whether any target of a service may be sent requests."""
        return any(
            s.target.service == service and self.accepts_requests(s)
            for s in self.states.values()
        )

    def reopens_in_s(self, scope: _scope.Scope) -> float | None:
        """Return the time until the first closed target takes requests again.

        None if no target in the scope has asked this host to stay away.
        """
        now = time.monotonic()
        return min(
            (
                s.closed_until - now
                for s in self.states.values()
                if s.target.service == scope.service
                and s.closed
                and not (s.excluded or s.replaced)
                and scope.allows(self.region_of(s))
            ),
            default=None,
        )

    def min_version(self, model: str) -> ids.WeightsVersion:
        """Return the oldest version that a request may start on now."""
        cutoff = uptime.now_s() - (self.version_bound_s - VERSION_MARGIN_S)
        desired_times = self.view.desired_since.get(ids.ModelName(model), {})
        return max(
            (
                v
                for v, desired_since in desired_times.items()
                if desired_since <= cutoff
            ),
            default=ids.WeightsVersion(0),
        )

    def start_deadline(
        self, state: _target_state.TargetState, model: str
    ) -> float:
        """Return when a request must have started, by the uptime clock.

        It is infinite while no newer version of the model is desired.
        """
        held = state.held_version(model)
        desired_times = self.view.desired_since.get(ids.ModelName(model), {})
        return (
            min(
                (
                    at
                    for version, at in desired_times.items()
                    if version > held
                ),
                default=float("inf"),
            )
            + self.version_bound_s
            - START_MARGIN_S
        )

    def available_targets(
        self, service: ids.ServiceName
    ) -> list[_target_state.TargetState]:
        """Return the targets that accept requests for at least one model."""
        engine = self.has_engine(service)
        return [
            s
            for s in self.used.get(service, [])
            if self.accepts_requests(s)
            and not (s.ejected or s.switching)
            and (not engine or s.holds_weights)
        ]

    def layers(self, service: ids.ServiceName) -> int:
        """Return the layers of a service's model; 0 without engines."""
        configuration = self.view.configuration
        found = configuration and configuration.services.get(service)
        return found.engine.layers if found and found.engine else 0

    def has_classes(self, service: ids.ServiceName) -> bool:
        """Whether routes to a service differ in priority."""
        configuration = self.view.configuration
        return configuration is not None and configuration.has_classes(service)

    def has_engine(self, service: ids.ServiceName) -> bool:
        """Whether a service's targets run models."""
        configuration = self.view.configuration
        if configuration is None:
            return False
        found = configuration.services.get(service)
        return found is not None and found.engine is not None


def _latest_starts_ms(targets: Iterable[directory.Target]) -> dict[str, int]:
    """Return the latest start at each address, in Unix milliseconds.

    After a target restarts under a new id, its previous registration
    remains until it expires.
    """
    latest: dict[str, int] = {}
    for target in targets:
        latest[target.address] = max(
            latest.get(target.address, 0), target.born_ms
        )
    return latest
