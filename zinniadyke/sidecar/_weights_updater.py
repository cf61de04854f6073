"""Fetches the wanted weights and has the target load them."""

from collections.abc import Callable
import functools
import logging
import time

import eventlet

from zinniadyke import directory
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import pacing
from zinniadyke import platform
from zinniadyke import reports
from zinniadyke import settings
from zinniadyke.sidecar import _list_reader
from zinniadyke.sidecar import _load_reporter
from zinniadyke.sidecar import _manifest
from zinniadyke.sidecar import _peer_client
from zinniadyke.sidecar import _peer_server
from zinniadyke.sidecar import _piece_exchange
from zinniadyke.sidecar import _piece_selection
from zinniadyke.sidecar import _pieces
from zinniadyke.sidecar import _schedule
from zinniadyke.sidecar import _staging
from zinniadyke.sidecar import _version_recorder
from zinniadyke.sidecar import _weights_fetcher
from zinniadyke import telemetry
from zinniadyke import uptime

LOG = logging.getLogger(__name__)

# Pause after a failed step.
RETRY_DELAY_S = 0.2
# Longest wait of the task that switches versions.
SWITCH_POLL_INTERVAL_S = 0.1
# Interval between reports read while a load is running.
LOAD_POLL_INTERVAL_S = 0.05
# Time for entries to learn that the target is about to switch.
ANNOUNCE_DELAY_S = 0.02
# Interval between reads of the named versions from the store; subscriptions
# of entries usually carry them sooner.
VERSIONS_REFRESH_S = 10.0
# The same while no entry subscribes.
UNSUBSCRIBED_REFRESH_S = 2.0
# Maximum age of the list of peers.
PEERS_REFRESH_S = 2.0
# Maximum age of a configuration with another number of pieces than a
# manifest.
CONFIGURATION_REFRESH_S = 2.0
# Pause after such a manifest; doubles with each further one, as a difference
# that lasts must not keep the origin's link busy.
DIGESTS_RETRY_S = 0.2
MAX_DIGESTS_RETRY_S = 5.0
# Interval between lists of peers while a version is fetched.
FETCH_PEERS_REFRESH_S = 4.0
# The same at first while this host is not listed, as after a restart of all
# hosts; doubles with each list.
UNLISTED_PEERS_REFRESH_S = 0.5
# Pieces are released from memory this long after the last peer request.
PIECES_IDLE_TIMEOUT_S = 10.0
# Version that targets load while no version has been named.
DEFAULT_VERSION = ids.WeightsVersion(1)
# All agents share the few connections that the origin accepts.
MAX_ORIGIN_CONNECTIONS = 1
MS_PER_S = 1000.0


class WeightsUpdater:
    """Fetches named weights and has the target load them.

    One task fetches and another switches, so the next version can be fetched
    while the previous one waits for its scheduled switch.

    Attributes
    ----------
    configuration, targets, versions
        Update ``view`` from the store when their lists are needed.
    """

    def __init__(
        self,
        *,
        loaded: settings.PlatformProcessSettings,
        view: directory.View,
        store: platform.StoreClient,
        target: platform.ModelServerClient,
        reporter: _load_reporter.LoadReporter,
        peer_server: _peer_server.PeerServer,
        bucket: pacing.TokenBucket,
    ) -> None:
        """Start without pieces and register the datagram handlers."""
        self.settings = loaded
        self.view = view
        self.target = target
        self.reporter = reporter
        self.peer_server = peer_server
        self.bucket = bucket
        # Peers and the engine's profile may be seconds old; the versions that
        # operators name may not.
        self.configuration = _list_reader.ListReader(
            follower=platform.follow_configuration(store, view, stale=True)
        )
        self.targets = _list_reader.ListReader(
            follower=platform.follow_targets(store, view, stale=True)
        )
        self.versions = _list_reader.ListReader(
            follower=platform.follow_versions(store, view)
        )
        self.regions = {r.zone: r.region for r in loaded.host.regions}
        self.origin: platform.OriginClient | None = None
        # Pause after the next manifest with another number of pieces.
        self.digests_retry_s = DIGESTS_RETRY_S
        # Pieces of versions whose digests did not match the origin's bytes.
        self.rejected_stores: dict[
            tuple[ids.ModelName, ids.WeightsVersion], _pieces.PieceStore
        ] = {}
        self.client = _peer_client.PeerClient(port=loaded.host.ports[0])
        reporter.switch_in_s = self._switch_in_s
        self.piece_exchange = _piece_exchange.PieceExchange(
            sock=reporter.sock,
            port=loaded.host.ports[0],
            held=peer_server.held,
        )
        reporter.handlers[reports.PieceQuery] = (
            self.piece_exchange.handle_query
        )
        reporter.handlers[reports.PieceReport] = (
            self.piece_exchange.handle_report
        )
        peer_server.holds_version = self._holds_version
        peer_server.piece_count = self._piece_count
        self.version_recorder = _version_recorder.VersionRecorder(
            my_ip=loaded.host.ip,
            find_hosts=self._agent_hosts,
            record=functools.partial(platform.record_version, store),
        )
        view.on_observed.append(self.version_recorder.handle_observed)
        self.changed = directory.Signal()
        view.on_change.append(self.changed.send)

    def fetch(self) -> None:
        """Fetch the version to load next, forever."""
        self._run_forever(self._fetch_step)

    def switch(self) -> None:
        """Have the target load fetched versions, forever."""
        self._run_forever(self._switch_step)

    def _run_forever(self, step: Callable[[], None]) -> None:
        while True:
            try:
                step()
            except _weights_fetcher.SupersededError:
                continue
            except errors.ZinniadykeError as error:
                LOG.warning(
                    "weights update failed, retrying",
                    extra={"reason": error.message},
                )
                eventlet.sleep(RETRY_DELAY_S)
            except Exception:
                LOG.exception("unexpected error in weights update, retrying")
                eventlet.sleep(RETRY_DELAY_S)

    def _fetch_step(self) -> None:
        """Fetch the version to load next, or the one after it."""
        self._refresh_lists()
        model = self._model()
        if (
            model is None
            or self.reporter.latest is None
            or not self._knows_versions(model)
        ):
            self.changed.wait(RETRY_DELAY_S)
            return
        version = self._version_to_fetch(model)
        store = self.peer_server.find_store(model, version)
        if version <= self._held_version(model) or (
            store is not None
            and not store.missing
            and self._has_all_digests(store)
        ):
            self._release_idle_pieces()
            self._release_rejected_stores()
            self.changed.wait(RETRY_DELAY_S)
            return
        self._fetch(model, version)

    def _switch_step(self) -> None:
        """Load the newest version of which all pieces are here."""
        model = self._model()
        store = self._store_to_load(model) if model else None
        if store is None:
            self.changed.wait(SWITCH_POLL_INTERVAL_S)
            return
        remaining_s = (
            self._scheduled_switch_at(model, store.version) - uptime.now_s()
        )
        if self._held_version(model) and remaining_s > 0:
            # A newer version may be completed before the switch is due.
            self.changed.wait(min(remaining_s, SWITCH_POLL_INTERVAL_S))
            return
        started = time.monotonic()
        verified_since = _staging.stage_and_verify(self.target, store)
        done = self._load(model, store.version, verified_since)
        telemetry.count(
            telemetry.Metric.ORDERS, label="loaded" if done else "not loaded"
        )
        telemetry.gauge(
            telemetry.Metric.WEIGHTS_VERSION,
            self._held_version(model),
            label=model,
        )
        LOG.info(
            "weights loaded" if done else "weights not loaded",
            extra={
                "model": model,
                "version": store.version,
                "after_ms": _ms_since(started),
            },
        )
        if not done:
            eventlet.sleep(RETRY_DELAY_S)

    def _refresh_lists(self) -> None:
        """Read the configuration if missing and the versions if stale."""
        if self.view.configuration is None:
            self.configuration.refresh(max_age_s=0.0)
        self.versions.refresh(
            VERSIONS_REFRESH_S
            if self.reporter.subscribers
            else UNSUBSCRIBED_REFRESH_S
        )

    def _knows_versions(self, model: ids.ModelName) -> bool:
        """Whether the store or an entry has told the named versions."""
        return (
            self.view.listed_versions is not None
            or model in self.view.desired_since
        )

    def _fetch(
        self, model: ids.ModelName, version: ids.WeightsVersion
    ) -> None:
        started = time.monotonic()
        store = self.peer_server.find_store(model, version)
        if store is not None and not self._has_all_digests(store):
            LOG.info(
                "number of pieces changed, reading the digests again",
                extra={"model": model, "version": version},
            )
            self.peer_server.drop_store(store)
            store = None
        if store is None:
            store = _pieces.PieceStore(
                model=model,
                version=version,
                digests=self._read_digests(model, version),
            )
            self.peer_server.add_store(store)
            if (model, version) in self.rejected_stores:
                store.reuse_pieces(self.rejected_stores[model, version])
        fetcher = self._make_fetcher(model, store)
        if not self._held_version(model):
            _staging.reuse_staged(self.target, store)
        LOG.info(
            "fetching weights",
            extra={
                "model": model,
                "version": version,
                "missing": len(store.missing),
                "peers": len(fetcher.swarm.peers),
                "holders": len(fetcher.swarm.holders),
                "peers_age_ms": _age_ms(self.targets),
            },
        )
        refresher = eventlet.spawn(self._refresh_peers, fetcher)
        try:
            fetcher.fetch()
        except _weights_fetcher.SupersededError:
            raise
        except errors.WeightsError:
            # The next attempt reads the digests from the origin.
            self.rejected_stores[model, version] = store
            self.peer_server.drop_store(store)
            raise
        finally:
            refresher.kill()
            self._origin().close_idle()
        LOG.info(
            "weights fetched",
            extra={
                "model": model,
                "version": version,
                "from_origin": fetcher.from_origin,
                "from_peers": fetcher.from_peers,
                "after_ms": _ms_since(started),
            },
        )

    def _read_digests(
        self, model: ids.ModelName, version: ids.WeightsVersion
    ) -> tuple[str, ...]:
        my_ip = self.settings.host.ip
        hosts = _manifest.host_order(
            model,
            version,
            sorted({t.host_ip for t in self._service_targets()} | {my_ip}),
        )
        if (model, version) in self.rejected_stores:
            hosts = [my_ip]
        origin = self._origin()
        count = self._piece_count()
        try:
            found = _manifest.read_digests(
                hosts,
                my_ip,
                lambda host: self.client.digests(
                    host, model, version, piece_count=count
                ),
                lambda: (
                    origin.manifest(model, version, piece_count=count).digests
                ),
            )
        except platform.PieceCountError:
            # An operator may have changed the number since it was read.
            self.configuration.refresh(CONFIGURATION_REFRESH_S)
            eventlet.sleep(self.digests_retry_s)
            self.digests_retry_s = min(
                2 * self.digests_retry_s, MAX_DIGESTS_RETRY_S
            )
            raise
        finally:
            origin.close_idle()
        self.digests_retry_s = DIGESTS_RETRY_S
        return found

    def _load(
        self,
        model: ids.ModelName,
        version: ids.WeightsVersion,
        verified_since: float,
    ) -> bool:
        """Order a load and wait for it; return whether it succeeded.

        Parameters
        ----------
        verified_since
            Uptime since which the staged pieces were read back.
        """
        layers = self._layers()
        before = self.target.report(layers)
        self.reporter.publish_report(before)
        if before.weights.get(model) == version:
            # An order whose answer was lost has loaded it.
            return True
        if before.order_in_progress:
            return False
        self.reporter.announce_switch()
        eventlet.sleep(ANNOUNCE_DELAY_S)
        if not _staging.is_recent(verified_since):
            LOG.info(
                "staged pieces verified too long ago, reading them again",
                extra={"model": model, "version": version},
            )
            return False
        started = self.target.load(
            model,
            version,
            orders_begun=before.orders_begun,
            cancel_running=self._can_cut_streams(),
        )
        while started:
            report = self.target.report(layers)
            self.reporter.publish_report(report)
            if report.weights.get(model) == version:
                return True
            if (
                not report.order_in_progress
                and report.orders_begun != before.orders_begun + 1
            ):
                return False
            eventlet.sleep(LOAD_POLL_INTERVAL_S)
        return False

    def _version_to_fetch(self, model: ids.ModelName) -> ids.WeightsVersion:
        desired_since = self.view.desired_since.get(model)
        if not desired_since:
            return DEFAULT_VERSION
        complete = [
            store.version
            for store in self.peer_server.stores
            if store.model == model and store.completed_at is not None
        ]
        return _schedule.choose_version(
            desired_since,
            self._held_version(model),
            complete,
            now=uptime.now_s(),
            bound_s=self.settings.bounds.version_ms / MS_PER_S
            - _schedule.ENTRY_MARGIN_S,
            lead_time_s=self._lead_time_s(),
        )

    def _lead_time_s(self) -> float:
        """Return the time from naming a version to loading it, in seconds."""
        return (
            self._fetch_time_s(self._engine().chunks) + _schedule.LOAD_TIME_S
        )

    def _fetch_time_s(self, pieces: int) -> float:
        """Return the estimated time to fetch some pieces, in seconds."""
        link_s = pieces * self._engine().chunk_bytes / self.bucket.bytes_per_s
        return link_s * _schedule.SWARM_SLOWDOWN

    def _store_to_load(
        self, model: ids.ModelName
    ) -> _pieces.PieceStore | None:
        """Return the newest complete version newer than the target's."""
        if self.reporter.latest is None:
            return None
        held = self._held_version(model)
        complete = [
            store
            for store in self.peer_server.stores
            if store.model == model
            and store.version > held
            and not store.missing
            and self._has_all_digests(store)
        ]
        return max(complete, key=lambda s: s.version, default=None)

    def _has_all_digests(self, store: _pieces.PieceStore) -> bool:
        """Whether a store has a digest for each piece in the configuration.

        The number may have changed since the digests were read.
        """
        return self._piece_count() in (0, len(store.digests))

    def _scheduled_switch_at(
        self, model: ids.ModelName, version: ids.WeightsVersion
    ) -> float:
        """Return the uptime at which this target should switch, in seconds.

        The targets of a service switch one after another.
        """
        targets = self.view.targets_of_service(self._service())
        ips = sorted({t.host_ip for t in targets})
        my_ip = self.settings.host.ip
        desired_since = self.view.desired_since.get(model, {}).get(version)
        if desired_since is None or my_ip not in ips:
            return 0.0
        return _schedule.switch_at(
            desired_since,
            bound_s=self.settings.bounds.version_ms / MS_PER_S,
            lead_time_s=self._lead_time_s(),
            position=ips.index(my_ip),
            count=len(ips),
        )

    def _switch_in_s(self) -> float | None:
        """Return the time until the target's next switch, in seconds."""
        model = self._model()
        if model is None or not self._held_version(model):
            return None
        return min(
            (
                self._loadable_in_s(store)
                for store in self.peer_server.stores
                if store.model == model
                and store.version > self._held_version(model)
            ),
            default=None,
        )

    def _loadable_in_s(self, store: _pieces.PieceStore) -> float:
        """Return the time until a version is fetched and its switch due."""
        scheduled_in_s = (
            self._scheduled_switch_at(store.model, store.version)
            - uptime.now_s()
        )
        return max(scheduled_in_s, self._fetch_time_s(len(store.missing)))

    def _can_cut_streams(self) -> bool:
        """Whether all streams of the service can resume elsewhere."""
        service = self._service()
        return all(
            route.retry_mode is directory.RetryMode.RESUME
            for routes in self.view.configuration.routes.values()
            for route in routes
            if any(b.service == service for b in route.backends)
        )

    def _make_fetcher(
        self, model: ids.ModelName, store: _pieces.PieceStore
    ) -> _weights_fetcher.WeightsFetcher:
        return _weights_fetcher.WeightsFetcher(
            origin=self._origin(),
            store=store,
            swarm=self._make_swarm(model, store.version),
            client=self.client,
            piece_exchange=self.piece_exchange,
            wanted_version=lambda: self._version_to_fetch(model),
            bucket=self.bucket,
            piece_bytes=self._engine().chunk_bytes,
        )

    def _make_swarm(
        self, model: ids.ModelName, version: ids.WeightsVersion
    ) -> _piece_selection.Swarm:
        me = _piece_selection.Peer(
            host_ip=self.settings.host.ip,
            region=self.settings.host.region,
            holds_version=False,
        )
        return _piece_selection.Swarm(
            me=me,
            peers=self._list_peers(model, version),
            count=self._piece_count(),
        )

    def _list_peers(
        self, model: ids.ModelName, version: ids.WeightsVersion
    ) -> list[_piece_selection.Peer]:
        return _piece_selection.list_peers(
            self._service_targets(),
            self.regions,
            model=model,
            version=version,
            my_ip=self.settings.host.ip,
        )

    def _refresh_peers(self, fetcher: _weights_fetcher.WeightsFetcher) -> None:
        """Update the peers of a fetch as targets register, forever."""
        store = fetcher.store
        pause_s = UNLISTED_PEERS_REFRESH_S
        while True:
            my_ip = self.settings.host.ip
            if any(p.host_ip == my_ip for p in fetcher.swarm.peers):
                pause_s = FETCH_PEERS_REFRESH_S
            eventlet.sleep(pause_s)
            pause_s = min(2 * pause_s, FETCH_PEERS_REFRESH_S)
            try:
                self.targets.refresh(max_age_s=0.0)
                fetcher.update_peers(
                    self._list_peers(store.model, store.version)
                )
            except Exception:
                LOG.exception("unexpected error in list of peers")

    def _service_targets(self) -> list[directory.Target]:
        """Return the service's targets; read them again if stale."""
        self.targets.refresh(PEERS_REFRESH_S)
        return self.view.targets_of_service(self._service())

    def _agent_hosts(self, model: ids.ModelName) -> set[str]:
        """Return the hosts of targets that are to hold a model.

        Targets without a model usually have no agent.
        """
        self.targets.refresh(PEERS_REFRESH_S)
        services = (
            self.view.configuration.services
            if (self.view.configuration)
            else {}
        )
        names = {
            s.name
            for s in services.values()
            if s.engine is not None and model in s.engine.models
        }
        return {
            t.host_ip
            for t in (self.view.targets or {}).values()
            if t.service in names
        }

    def _holds_version(self, model: str, version: int) -> bool:
        return self._held_version(ids.ModelName(model)) == version

    def _piece_count(self) -> int:
        engine = self._engine()
        return engine.chunks if engine else 0

    def _release_idle_pieces(self) -> None:
        idle_s = time.monotonic() - self.peer_server.last_request_at
        if idle_s < PIECES_IDLE_TIMEOUT_S:
            return
        self.peer_server.read_back_cache.clear()
        for store in self.peer_server.stores:
            if store.version <= self._held_version(store.model):
                store.pieces.clear()

    def _release_rejected_stores(self) -> None:
        """Drop the rejected pieces of versions that are no longer wanted."""
        for model, version in list(self.rejected_stores):
            if version <= self._held_version(model):
                del self.rejected_stores[model, version]

    def _held_version(self, model: ids.ModelName) -> int:
        report = self.reporter.latest
        return report.weights.get(model, 0) if report else 0

    def _service(self) -> ids.ServiceName:
        return ids.ServiceName(self.settings.target.service)

    def _engine(self) -> directory.EngineProfile | None:
        configuration = self.view.configuration
        if configuration is None:
            return None
        found = configuration.services.get(self._service())
        return found.engine if found else None

    def _model(self) -> ids.ModelName | None:
        engine = self._engine()
        return engine.models[0] if engine and engine.models else None

    def _layers(self) -> int:
        engine = self._engine()
        return engine.layers if engine else 0

    def _origin(self) -> platform.OriginClient:
        found = self.view.configuration.find_origin()
        if found is None:
            raise errors.WeightsError(
                "no origin is configured",
                code=errors.ResultCode.ORIGIN_UNAVAILABLE,
            )
        if self.origin is None or self.origin.address != found.address:
            self.origin = platform.OriginClient(
                address=found.address, connections=MAX_ORIGIN_CONNECTIONS
            )
        return self.origin


def _age_ms(reader: _list_reader.ListReader) -> int | None:
    """Return the age of a list, in ms; None if it was never read."""
    age_s = reader.age_s
    return None if age_s == float("inf") else int(age_s * MS_PER_S)


def _ms_since(moment: float) -> int:
    return int((time.monotonic() - moment) * MS_PER_S)
