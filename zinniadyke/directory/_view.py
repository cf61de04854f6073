"""A process's view of the platform: configuration, targets, weights."""

from collections.abc import Callable
import logging

import eventlet
import msgspec

from zinniadyke.directory import _configuration
from zinniadyke.directory import _evacuations
from zinniadyke.directory import _target
from zinniadyke import ids
from zinniadyke import uptime

LOG = logging.getLogger(__name__)

# Versions per model that are kept to decide which weights may still serve.
MAX_VERSIONS_PER_MODEL = 16
# Versions that have been desired for longer are not reported; they apply as
# if they had always been desired.
RECENT_VERSION_S = 30.0
# Leaving targets that are remembered, the latest ones.
MAX_LEAVING = 4096
# A store that is restored from a copy may have lost an evacuation, which the
# operator then writes again. Its zone stays evacuated for this time.
EVACUATION_HOLD_S = 2.0
MS_PER_S = 1000
# Marks a version that was desired before this process could observe it.
UNKNOWN_SINCE = float("-inf")


class View:
    """The newest configuration, targets and desired weights.

    Attributes
    ----------
    desired_weights
        Newest version of each model that its targets shall hold.
    desired_since
        Time of :func:`zinniadyke.uptime.now_s` at which each version of a
        model became the desired one; ``UNKNOWN_SINCE`` if not known.
    listed_versions
        Newest version of each model in the lists that this process read
        itself; None before the first list.
    watches_versions
        Whether this process watches the store for desired versions and so
        observes a new one at once.
    listed_targets
        Targets as they were last listed; ``targets`` also has what targets
        said of themselves. None before the first list.
    leaving
        Incarnations of targets that are known to leave. A start of a target
        that leaves never takes requests again, whatever is listed later.
    follows_evacuations
        Whether this process needs a list of evacuations to serve requests.
    evacuations
        Newest list of evacuations; None before the first.
    evacuated_zones
        Zones that are evacuated now: those of the list, and for a time those
        that a restored store does not list any more.
    guessed_versions
        Versions whose time is the end of an outage of the store, unless a
        record in the store says that they were named before.
    on_observed
        Functions that are called with a model, a version and its time of
        naming when this process, which has listed the versions before,
        learns the time of a newer one, but not from the end of an outage.
    on_change
        Functions that are called without arguments after each change.
    """

    def __init__(self) -> None:
        """Start without any data."""
        self.configuration: _configuration.ServingConfiguration | None = None
        self.targets: dict[ids.TargetId, _target.Target] | None = None
        self.listed_targets: dict[ids.TargetId, _target.Target] | None = None
        self.desired_weights: dict[ids.ModelName, ids.WeightsVersion] = {}
        self.desired_since: dict[
            ids.ModelName, dict[ids.WeightsVersion, float]
        ] = {}
        self.listed_versions: (
            dict[ids.ModelName, ids.WeightsVersion] | None
        ) = None
        self.watches_versions = False
        self.guessed_versions: set[
            tuple[ids.ModelName, ids.WeightsVersion]
        ] = set()
        self.on_observed: list[
            Callable[[ids.ModelName, ids.WeightsVersion, float], None]
        ] = []
        self.leaving: dict[tuple[ids.TargetId, int], None] = {}
        self.follows_evacuations = False
        self.evacuations: _evacuations.Evacuations | None = None
        self.evacuated_zones: frozenset[ids.ZoneName] = frozenset()
        self.on_change: list[Callable[[], None]] = []

    @property
    def complete(self) -> bool:
        """Whether enough is known to serve requests."""
        return (
            self.configuration is not None
            and self.targets is not None
            and (self.evacuations is not None or not self.follows_evacuations)
        )

    def set_configuration(
        self, new: _configuration.ServingConfiguration
    ) -> None:
        """Apply a configuration that is newer than the present one."""
        old = self.configuration
        if old is not None and new.version <= old.version:
            return
        self.configuration = new
        LOG.info(
            "configuration in force",
            extra={
                "version": new.version,
                "before": old.version if old else None,
                "routes": sum(len(r) for r in new.routes.values()),
            },
        )
        self._notify()

    def set_targets(self, targets: dict[ids.TargetId, _target.Target]) -> None:
        """Replace the list of targets."""
        old = self.targets or {}
        self.listed_targets = targets
        for target in targets.values():
            if target.leaving:
                self._remember_leaving(target)
        targets = {
            name: self._apply_leaving(target)
            for name, target in targets.items()
        }
        for name in old.keys() - targets.keys():
            _log_target("target gone", old[name])
        for name, new in targets.items():
            if old.get(name) != new:
                _log_target("target", new)
        self.targets = targets
        self._notify()

    def set_evacuations(
        self, new: _evacuations.Evacuations, *, source: str
    ) -> None:
        """Apply a list of evacuations that is newer than the present one.

        Parameters
        ----------
        source
            Where the list comes from, for the log.
        """
        old = self.evacuations
        if not new.newer_than(old):
            return
        self.evacuations = new
        before = old.zones if old else frozenset()
        held = self.evacuated_zones - before
        if old is not None and new.era != old.era:
            held = self.evacuated_zones
            eventlet.spawn_after(
                EVACUATION_HOLD_S, self._end_evacuation_hold, new.era
            )
        zones = new.zones | held
        if old is None or zones != self.evacuated_zones:
            self._put_evacuations_in_force(zones, source=source)

    def _end_evacuation_hold(self, era: int) -> None:
        """Drop zones that only lists of earlier eras name."""
        # A later restoration has begun a hold of its own.
        if self.evacuations.era == era and (
            self.evacuated_zones != self.evacuations.zones
        ):
            self._put_evacuations_in_force(
                self.evacuations.zones, source="hold"
            )

    def _put_evacuations_in_force(
        self, zones: frozenset[ids.ZoneName], *, source: str
    ) -> None:
        self.evacuated_zones = zones
        LOG.info(
            "evacuations in force",
            extra={
                "zones": sorted(zones),
                "era": self.evacuations.era,
                "revision": self.evacuations.revision,
                "source": source,
            },
        )
        self._notify()

    def mark_leaving(self, target: _target.Target, *, source: str) -> None:
        """Record that a target said itself that it is leaving.

        Parameters
        ----------
        source
            What said so, for the log.
        """
        if target.incarnation in self.leaving:
            return
        self._remember_leaving(target)
        LOG.info(
            "target is leaving",
            extra={
                "target": target.id,
                "service": target.service,
                "address": target.address,
                "born": target.born_ms,
                "source": source,
            },
        )
        found = (self.targets or {}).get(target.id)
        if found is not None and found.incarnation == target.incarnation:
            self.targets = {
                **self.targets,
                target.id: self._apply_leaving(found),
            }
            self._notify()

    def _remember_leaving(self, target: _target.Target) -> None:
        self.leaving.pop(target.incarnation, None)
        self.leaving[target.incarnation] = None
        while len(self.leaving) > MAX_LEAVING:
            del self.leaving[next(iter(self.leaving))]

    def _apply_leaving(self, target: _target.Target) -> _target.Target:
        if target.leaving or target.incarnation not in self.leaving:
            return target
        return msgspec.structs.replace(target, leaving=True)

    def set_desired_weights(
        self,
        desired_weights: list[_target.DesiredWeights],
        *,
        after_outage: bool = False,
    ) -> None:
        """Apply a list of desired versions; lower versions are ignored.

        The versions of the first list were desired before it, at an unknown
        time. After an outage of the store the end of the outage counts, as
        it does in other processes that read the list then. An earlier time
        that the store records replaces this guess and an unknown time. It
        does not replace a time that was observed, from which it differs by
        the margin for clocks.

        Parameters
        ----------
        after_outage
            Whether the store has just become reachable again for this
            process.
        """
        observed = self.listed_versions is not None and not after_outage
        known = observed or after_outage
        since = uptime.now_s() if known else UNKNOWN_SINCE
        listed_versions = self.listed_versions = self.listed_versions or {}
        for desired in desired_weights:
            if listed_versions.get(desired.model, 0) >= desired.version:
                continue
            listed_versions[desired.model] = desired.version
            since_by_version = self.desired_since.get(desired.model, {})
            if self.desired_weights.get(desired.model, 0) < desired.version:
                self._set_desired(desired.model, desired.version, since)
            elif after_outage and (
                since_by_version.get(desired.version) == UNKNOWN_SINCE
            ):
                since_by_version[desired.version] = since
            else:
                # A list that is read now and then tells no time, and an
                # unknown time is an earlier one.
                continue
            if after_outage:
                self.guessed_versions.add((desired.model, desired.version))
            if observed:
                self._notify_observed(desired.model, desired.version)
        for desired in desired_weights:
            self._apply_record(desired)
        self._notify()

    def needs_record(
        self, model: ids.ModelName, version: ids.WeightsVersion
    ) -> bool:
        """Whether an earlier time in the store's record would be used."""
        since = self.desired_since.get(model, {}).get(version, UNKNOWN_SINCE)
        return (
            since == UNKNOWN_SINCE or (model, version) in self.guessed_versions
        )

    def _apply_record(self, desired: _target.DesiredWeights) -> None:
        model, version = desired.model, desired.version
        recorded = desired.recorded_since
        since = self.desired_since.get(model, {}).get(version)
        if recorded is None or since is None:
            return
        if not self.needs_record(model, version):
            return
        if since == UNKNOWN_SINCE or recorded < since:
            self.desired_since[model][version] = recorded
            LOG.info(
                "time of naming read from the store",
                extra={
                    "model": model,
                    "version": version,
                    "age_ms": _age_ms(uptime.now_s(), recorded),
                },
            )

    def learn_desired_weights(
        self,
        model: ids.ModelName,
        version: ids.WeightsVersion,
        age_s: float | None,
    ) -> None:
        """Apply a desired version that another process reported.

        Parameters
        ----------
        age_s
            Time since that process observed it, in seconds; None if
            unknown. A process that watches the versions and has listed them
            ignores a report of unknown age: its own watch will bring the
            version with its time.
        """
        known = self.desired_since.get(model, {}).get(version)
        if age_s is None:
            will_list_it = (
                self.watches_versions and self.listed_versions is not None
            )
            if known is None and not will_list_it:
                self._learn_newer(model, version, UNKNOWN_SINCE)
            return
        since = uptime.now_s() - age_s
        if known is None:
            self._learn_newer(model, version, since)
        elif known == UNKNOWN_SINCE or since < known:
            self.desired_since[model][version] = since
        # A version of the first list was not observed by this process.
        if known in (None, UNKNOWN_SINCE) and (
            self.listed_versions is not None
            and self.listed_versions.get(model, 0) < version
        ):
            self._notify_observed(model, version)

    def _notify_observed(
        self, model: ids.ModelName, version: ids.WeightsVersion
    ) -> None:
        since = self.desired_since.get(model, {}).get(version)
        if since is not None:
            for callback in self.on_observed:
                callback(model, version, since)

    def _learn_newer(
        self,
        model: ids.ModelName,
        version: ids.WeightsVersion,
        since: float,
    ) -> None:
        if self.desired_weights.get(model, 0) < version:
            self._set_desired(model, version, since)
            self._notify()

    def desired_weights_ages_ms(self) -> dict[str, dict[int, int | None]]:
        """Return how long each recent version has been desired, in ms.

        The time is None if unknown.
        """
        now = uptime.now_s()
        return {
            model: {
                version: _age_ms(now, since)
                for version, since in since_by_version.items()
                if since == UNKNOWN_SINCE or now - since < RECENT_VERSION_S
            }
            for model, since_by_version in self.desired_since.items()
        }

    def _set_desired(
        self,
        model: ids.ModelName,
        version: ids.WeightsVersion,
        since: float,
    ) -> None:
        self.desired_weights[model] = version
        since_by_version = self.desired_since.setdefault(model, {})
        since_by_version[version] = since
        while len(since_by_version) > MAX_VERSIONS_PER_MODEL:
            oldest = min(since_by_version)
            del since_by_version[oldest]
            self.guessed_versions.discard((model, oldest))
        LOG.info("weights named", extra={"model": model, "version": version})

    def targets_of_service(
        self, service: ids.ServiceName
    ) -> list[_target.Target]:
        """Return a service's targets sorted by id, including leaving ones."""
        all_targets = (self.targets or {}).values()
        return sorted(
            (t for t in all_targets if t.service == service),
            key=lambda t: t.id,
        )

    def _notify(self) -> None:
        for callback in self.on_change:
            callback()


def _log_target(message: str, target: _target.Target) -> None:
    LOG.info(
        message,
        extra={
            "target": target.id,
            "service": target.service,
            "address": target.address,
            "leaving": target.leaving,
            "weights": target.weights,
        },
    )


def _age_ms(now: float, since: float) -> int | None:
    return None if since == UNKNOWN_SINCE else int((now - since) * MS_PER_S)
