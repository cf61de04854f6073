"""What a process believes of the platform, with the age of each part."""

from collections.abc import Callable
import logging
import time

from zinniadyke.directory import _configuration
from zinniadyke.directory import _target
from zinniadyke import ids

LOG = logging.getLogger(__name__)

# Version history that is kept for judging which weights may still serve.
MAX_NAMED = 16
# Versions that were named longer ago bind as if they always had been.
RECENT_S = 30.0
MS_PER_S = 1000
# Stands for a version that was named before this process could see it.
NOT_KNOWN = float("-inf")


class View:
    """The newest configuration, targets and named weights.

    Attributes
    ----------
    desired_since
        Monotonic time at which each version of a model was named, as far
        as known.
    listed
        Newest version of each model in this process's own lists; None
        before the first.
    watches_versions
        Whether this process sees a version that is named within moments.
    on_change
        Called, without arguments, after each change.
    """

    def __init__(self) -> None:
        """Know nothing."""
        self.configuration: _configuration.ServingConfiguration | None = None
        self.targets: dict[ids.TargetId, _target.Target] | None = None
        self.desired_weights: dict[ids.ModelName, ids.WeightsVersion] = {}
        self.desired_since: dict[
            ids.ModelName, dict[ids.WeightsVersion, float]
        ] = {}
        self.listed: dict[ids.ModelName, ids.WeightsVersion] | None = None
        self.watches_versions = False
        self.on_change: list[Callable[[], None]] = []

    @property
    def complete(self) -> bool:
        """Whether requests can be served by what is known."""
        return self.configuration is not None and self.targets is not None

    def set_configuration(
        self, new: _configuration.ServingConfiguration
    ) -> None:
        """Take a configuration unless an equal or newer one is in force."""
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
        for name in old.keys() - targets.keys():
            _log_target("target gone", old[name])
        for name, new in targets.items():
            if old.get(name) != new:
                _log_target("target", new)
        self.targets = targets
        self._notify()

    def set_desired_weights(
        self,
        desired_weights: list[_target.DesiredWeights],
        *,
        after_outage: bool = False,
    ) -> None:
        """Take the versions that are named; a lower one is ignored.

        When those of the first list were named is not known. After an
        outage of the store they count from its end, as those do that other
        processes find there then.

        Parameters
        ----------
        after_outage
            Whether the store has just come back to this process.
        """
        known = self.listed is not None or after_outage
        moment = time.monotonic() if known else NOT_KNOWN
        listed = self.listed = self.listed or {}
        for entry in desired_weights:
            if listed.get(entry.model, 0) >= entry.version:
                continue
            listed[entry.model] = entry.version
            seen = self.desired_since.get(entry.model, {})
            if self.desired_weights.get(entry.model, 0) < entry.version:
                self._name(entry.model, entry.version, moment)
            elif seen.get(entry.version) == NOT_KNOWN:
                seen[entry.version] = moment
        self._notify()

    def learn_desired_weights(
        self,
        model: ids.ModelName,
        version: ids.WeightsVersion,
        age_s: float | None,
    ) -> None:
        """Take from another process that a version was named.

        Parameters
        ----------
        age_s
            Time since that process saw it, in seconds; None if it does not
            know. A process that watches the versions waits for its own
            sight of it then.
        """
        known = self.desired_since.get(model, {}).get(version)
        if age_s is None:
            sees_it = self.watches_versions and self.listed is not None
            if known is None and not sees_it:
                self._learn(model, version, NOT_KNOWN)
            return
        moment = time.monotonic() - age_s
        if known is None:
            self._learn(model, version, moment)
        elif known == NOT_KNOWN or moment < known:
            self.desired_since[model][version] = moment

    def _learn(
        self,
        model: ids.ModelName,
        version: ids.WeightsVersion,
        moment: float,
    ) -> None:
        if self.desired_weights.get(model, 0) < version:
            self._name(model, version, moment)
            self._notify()

    def desired_weights_ages_ms(self) -> dict[str, dict[int, int | None]]:
        """Return the time since each recent version was named, in ms."""
        now = time.monotonic()
        return {
            model: {
                version: _age_ms(now, moment)
                for version, moment in seen.items()
                if moment == NOT_KNOWN or now - moment < RECENT_S
            }
            for model, seen in self.desired_since.items()
        }

    def _name(
        self,
        model: ids.ModelName,
        version: ids.WeightsVersion,
        moment: float,
    ) -> None:
        self.desired_weights[model] = version
        seen = self.desired_since.setdefault(model, {})
        seen[version] = moment
        while len(seen) > MAX_NAMED:
            del seen[min(seen)]
        LOG.info("weights named", extra={"model": model, "version": version})

    def targets_of_service(
        self, service: ids.ServiceName
    ) -> list[_target.Target]:
        """Return the service's targets, also leaving ones, by id."""
        found = (self.targets or {}).values()
        return sorted(
            (t for t in found if t.service == service), key=lambda t: t.id
        )

    def _notify(self) -> None:
        for callback in self.on_change:
            callback()


def _log_target(what: str, target: _target.Target) -> None:
    LOG.info(
        what,
        extra={
            "target": target.id,
            "service": target.service,
            "address": target.address,
            "leaving": target.leaving,
            "weights": target.weights,
        },
    )


def _age_ms(now: float, moment: float) -> int | None:
    return None if moment == NOT_KNOWN else int((now - moment) * MS_PER_S)
