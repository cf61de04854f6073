"""Followers that keep a view up to date with the store."""

from collections.abc import Collection
import logging

import msgspec

from zinniadyke import decoding
from zinniadyke import directory
from zinniadyke import ids
from zinniadyke.platform import _decode_configuration
from zinniadyke.platform import _decode_target
from zinniadyke.platform import _revision
from zinniadyke.platform import _store
from zinniadyke.platform import _version_record

LOG = logging.getLogger(__name__)

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
TARGETS_KIND = "servers"
# Each heartbeat of a target changes its registration, so a pause after each
# call lets the next return many changes.
TARGETS_BATCH_WINDOW_S = 0.3
# Each object's name is that of an evacuated zone.
EVACUATIONS_KIND = "evacuations"


def follow_configuration(
    store: _store.StoreClient, view: directory.View, *, stale: bool = False
) -> directory.Follower:
    """Return a follower that sets the view's configuration.

    Parameters
    ----------
    stale
        Whether a list may be seconds old, at a tenth of the price.
    """

    def on_update(objects: dict[str, _store.StoreObject]) -> None:
        stored = objects.get(CONFIGURATION_NAME)
        if stored is None:
            return
        try:
            decoded = _decode_configuration.decode_configuration(stored)
        except ValueError as error:
            _log_unreadable(stored, error)
            return
        present = view.configuration
        if present is not None and decoded.version < present.version:
            LOG.warning(
                "older configuration ignored",
                extra={
                    "version": decoded.version,
                    "in_force": present.version,
                    "era": store.era,
                },
            )
        view.set_configuration(decoded)

    return _make_follower(store, CONFIGURATION_KIND, on_update, stale=stale)


def follow_versions(
    store: _store.StoreClient, view: directory.View
) -> directory.Follower:
    """Return a follower that sets the view's desired weights."""
    # Era and revision of each object whose record was read, by name.
    read_records: dict[str, tuple[int, int]] = {}

    def read_record(
        stored: _store.StoreObject, desired: directory.DesiredWeights
    ) -> directory.DesiredWeights:
        name = stored.metadata.name
        change = store.era, stored.metadata.revision
        # A record that is not needed is not read, so that it is not logged.
        if read_records.get(name) == change or not view.needs_record(
            desired.model, desired.version
        ):
            return desired
        read_records[name] = change
        return msgspec.structs.replace(
            desired,
            recorded_since=_version_record.recorded_since(
                stored, desired.version
            ),
        )

    def on_update(objects: dict[str, _store.StoreObject]) -> None:
        desired_weights = []
        for stored in objects.values():
            try:
                desired = _decode_target.decode_desired_weights(stored)
            except ValueError as error:
                _log_unreadable(stored, error)
                continue
            desired_weights.append(read_record(stored, desired))
        for desired in desired_weights:
            known = view.desired_weights.get(desired.model, 0)
            if desired.version < known:
                LOG.warning(
                    "older version of weights ignored",
                    extra={
                        "model": desired.model,
                        "version": desired.version,
                        "desired": known,
                        "era": store.era,
                    },
                )
        view.set_desired_weights(
            desired_weights, after_outage=follower.outage_just_ended
        )

    follower = _make_follower(store, _version_record.VERSIONS_KIND, on_update)
    return follower


def follow_evacuations(
    store: _store.StoreClient,
    view: directory.View,
    *,
    zones: Collection[ids.ZoneName],
    batch_window_s: float = 0.0,
) -> directory.Follower:
    """Return a follower that sets the view's evacuations.

    It does not keep objects that lapse around an outage: the view itself
    holds zones that a restored store has lost, so that all processes know
    the same zones of a revision. An evacuation that a restored store lists
    again after its removal is in force, as it is for a process that starts.

    Parameters
    ----------
    zones
        Names of all zones; an object of any other name evacuates nothing.
    batch_window_s
        Pause after each batch of changes, in seconds.
    """
    # Revision of each object that was logged, by name.
    logged: dict[str, int] = {}

    def on_update(objects: dict[str, _store.StoreObject]) -> None:
        for name in logged.keys() - objects.keys():
            del logged[name]
        for name, stored in objects.items():
            if logged.get(name) == stored.metadata.revision:
                continue
            logged[name] = stored.metadata.revision
            if name not in zones:
                _log_unreadable(stored, ValueError("no zone of this name"))
            elif not _is_object(stored.spec):
                LOG.warning(
                    "evacuation in force although its spec is unreadable",
                    extra={"zone": name},
                )
        view.set_evacuations(
            directory.Evacuations(
                era=follower.revision.era,
                revision=follower.revision.number,
                zones=frozenset(
                    ids.ZoneName(name) for name in objects if name in zones
                ),
            ),
            source="store",
        )

    follower = _make_follower(
        store, EVACUATIONS_KIND, on_update, batch_window_s=batch_window_s
    )
    return follower


def _is_object(raw: msgspec.Raw) -> bool:
    """Whether a spec is a JSON object, as an evacuation's should be."""
    try:
        return isinstance(msgspec.json.decode(raw), dict)
    except decoding.UNREADABLE:
        return False


def follow_targets(
    store: _store.StoreClient,
    view: directory.View,
    *,
    batch_window_s: float = TARGETS_BATCH_WINDOW_S,
    stale: bool = False,
) -> directory.Follower:
    """Return a follower that sets the view's targets.

    Parameters
    ----------
    batch_window_s
        Pause after each batch of changes, in seconds.
    stale
        Whether a list may be seconds old, at a tenth of the price.
    """
    applied_layers: dict[str, int] = {}
    # Decoded form of each registration; most change by heartbeats of others.
    decoded: dict[str, tuple[_store.StoreObject, directory.Target | None]] = {}

    def on_update(objects: dict[str, _store.StoreObject]) -> None:
        layers = _layer_counts(view)
        if layers != applied_layers:
            decoded.clear()
        applied_layers.clear()
        applied_layers.update(layers)
        for name in decoded.keys() - objects.keys():
            del decoded[name]
        for name, stored in objects.items():
            known = decoded.get(name)
            if known is None or known[0] is not stored:
                decoded[name] = (stored, _decode_target_or_log(stored, layers))
        targets = {
            target.id: target
            for _, target in decoded.values()
            if target is not None
        }
        # Most changes are heartbeats, which change nothing here.
        if targets != view.listed_targets:
            view.set_targets(targets)

    follower = _make_follower(
        store,
        TARGETS_KIND,
        on_update,
        stale=stale,
        keep_lapsed=True,
        batch_window_s=batch_window_s,
    )

    def recheck_layers() -> None:
        # Layer counts decide which targets hold a complete model.
        if view.targets is not None and _layer_counts(view) != applied_layers:
            follower.redeliver()

    view.on_change.append(recheck_layers)
    return follower


def _decode_target_or_log(
    stored: _store.StoreObject, layers: dict[str, int]
) -> directory.Target | None:
    try:
        return _decode_target.decode_target(stored, layers)
    except ValueError as error:
        _log_unreadable(stored, error)
        return None


def _layer_counts(view: directory.View) -> dict[str, int]:
    if view.configuration is None:
        return {}
    return {
        name: service.engine.layers
        for name, service in view.configuration.services.items()
        if service.engine is not None
    }


def _make_follower(
    store, kind, on_update, *, stale=False, **options
) -> directory.Follower:
    def list_all() -> tuple[dict[str, _store.StoreObject], _revision.Revision]:
        listed = store.list_objects(kind, stale=stale)
        return {o.metadata.name: o for o in listed.objects}, listed.revision

    def wait_for_changes(revision: _revision.Revision, wait_s: float):
        answer = store.watch(kind, revision, wait_s)
        changes = [
            (c.object.metadata.name, None if c.removed else c.object)
            for c in answer.changes
        ]
        return changes, answer.revision

    return directory.Follower(
        name=kind,
        list_all=list_all,
        wait_for_changes=wait_for_changes,
        history_gone=_store.HistoryGoneError,
        on_update=on_update,
        answered_at=lambda: store.answered_at,
        era=lambda: store.era,
        **options,
    )


def _log_unreadable(stored: _store.StoreObject, error: ValueError) -> None:
    LOG.warning(
        "object ignored",
        extra={"object": stored.metadata.name, "reason": str(error)},
    )
