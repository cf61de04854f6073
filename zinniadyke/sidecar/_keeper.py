"""Keeps the target on the weights that are wanted."""

from collections.abc import Callable
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
from zinniadyke.sidecar import _bring
from zinniadyke.sidecar import _load_reporter
from zinniadyke.sidecar import _manifest
from zinniadyke.sidecar import _peer_client
from zinniadyke.sidecar import _peer_server
from zinniadyke.sidecar import _pick
from zinniadyke.sidecar import _piece_news
from zinniadyke.sidecar import _pieces
from zinniadyke.sidecar import _schedule
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

# Pause after a failed step.
RETRY_S = 0.2
# Longest sleep of the task that orders loads.
SWITCH_CHECK_S = 0.1
# A load that is under way is looked at this often.
LOAD_CHECK_S = 0.05
# Time that entries have to learn that a target is about to switch.
ANNOUNCE_S = 0.02
# The named versions are read again this often; entries tell sooner.
VERSIONS_LIFE_S = 10.0
# The list of peers is read again when it is older than this.
PEERS_LIFE_S = 2.0
# Pieces stay in memory this long after the last peer asked for one.
PIECES_LIFE_S = 10.0
# Version that targets hold while none was ever named.
FIRST_VERSION = ids.WeightsVersion(1)
# Connections to the origin that one agent keeps while it fetches: all agents
# share the few that it takes.
ORIGIN_CONNECTIONS = 1
MS_PER_S = 1000.0


class WeightsKeeper:
    """Fetches named weights and has the target load them.

    Two tasks share the work, so that the next version is on its way while
    the one before waits for its turn to be loaded.
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
        """Start with nothing fetched."""
        self.settings = loaded
        self.view = view
        self.target = target
        self.reporter = reporter
        self.peer_server = peer_server
        self.bucket = bucket
        self.configuration = platform.follow_configuration(store, view)
        self.targets = platform.follow_targets(store, view)
        self.versions = platform.follow_versions(store, view)
        self.regions = {r.zone: r.region for r in loaded.host.regions}
        self.origin: platform.OriginClient | None = None
        # Versions whose digests did not fit, with what came of them.
        self.doubted: dict[
            tuple[ids.ModelName, ids.WeightsVersion], _pieces.PieceStore
        ] = {}
        self.client = _peer_client.PeerClient(port=loaded.host.ports[0])
        reporter.switch_in_s = self._switch_in_s
        self.news = _piece_news.PieceNews(
            sock=reporter.sock,
            port=loaded.host.ports[0],
            held=peer_server.held,
        )
        reporter.handlers[reports.PieceQuery] = self.news.take_query
        reporter.handlers[reports.PieceReport] = self.news.take_report
        peer_server.holds = self._holds
        peer_server.piece_count = self._piece_count
        self.targets_read_at = float("-inf")
        self.versions_read_at = float("-inf")
        self.changed = directory.Signal()
        view.on_change.append(self.changed.send)

    def fetch(self) -> None:
        """Fetch what is to be loaded, for ever."""
        self._repeat(self._fetch_step)

    def switch(self) -> None:
        """Load what was fetched, for ever."""
        self._repeat(self._switch_step)

    def _repeat(self, step: Callable[[], None]) -> None:
        while True:
            try:
                step()
            except _bring.SupersededError:
                continue
            except errors.ZinniadykeError as error:
                LOG.warning("weights", extra={"reason": error.message})
                eventlet.sleep(RETRY_S)
            except Exception:
                LOG.exception("weights")
                eventlet.sleep(RETRY_S)

    def _fetch_step(self) -> None:
        """Fetch the version that is to be loaded next, or the one after."""
        self._learn()
        model = self._model()
        if model is None or self.reporter.latest is None:
            self.changed.wait(RETRY_S)
            return
        version = self._to_fetch(model)
        store = self.peer_server.find_store(model, version)
        if version <= self._held(model) or (
            store is not None and not store.missing
        ):
            self._forget_pieces()
            self.changed.wait(RETRY_S)
            return
        self._fetch(model, version)

    def _switch_step(self) -> None:
        """Load the newest version that is here whole."""
        model = self._model()
        store = self._to_load(model) if model else None
        if store is None:
            self.changed.wait(SWITCH_CHECK_S)
            return
        left_s = self._turn(model, store.version) - time.monotonic()
        if self._held(model) and left_s > 0:
            # A newer version may become whole meanwhile.
            self.changed.wait(min(left_s, SWITCH_CHECK_S))
            return
        begun = time.monotonic()
        self._bringer(model, store).verify()
        done = self._load(model, store.version)
        telemetry.count(
            telemetry.Metric.ORDERS, label="loaded" if done else "not loaded"
        )
        telemetry.gauge(
            telemetry.Metric.WEIGHTS_VERSION, self._held(model), label=model
        )
        LOG.info(
            "weights loaded" if done else "weights not loaded",
            extra={
                "model": model,
                "version": store.version,
                "after_ms": _ms_since(begun),
            },
        )
        if not done:
            eventlet.sleep(RETRY_S)

    def _learn(self) -> None:
        """Read what is missing or old of the platform's lists."""
        now = time.monotonic()
        if self.view.configuration is None:
            self.configuration.step()
        if now - self.versions_read_at > VERSIONS_LIFE_S:
            self.versions.relist()
            self.versions_read_at = now

    def _fetch(
        self, model: ids.ModelName, version: ids.WeightsVersion
    ) -> None:
        begun = time.monotonic()
        store = self.peer_server.find_store(model, version)
        if store is None:
            store = _pieces.PieceStore(
                model=model,
                version=version,
                digests=self._digests(model, version),
            )
            self.peer_server.add_store(store)
            if (model, version) in self.doubted:
                store.adopt(self.doubted[model, version])
        bringer = self._bringer(model, store)
        if not self._held(model):
            bringer.adopt_staged()
        try:
            bringer.fetch()
        except _bring.SupersededError:
            raise
        except errors.WeightsError:
            # The next try takes the digests from the origin.
            self.doubted[model, version] = store
            self.peer_server.drop_store(store)
            raise
        finally:
            self._origin().close_idle()
        LOG.info(
            "weights fetched",
            extra={
                "model": model,
                "version": version,
                "from_origin": bringer.from_origin,
                "from_peers": bringer.from_peers,
                "after_ms": _ms_since(begun),
            },
        )

    def _digests(
        self, model: ids.ModelName, version: ids.WeightsVersion
    ) -> tuple[str, ...]:
        my_ip = self.settings.host.ip
        hosts = _manifest.order(
            model,
            version,
            sorted({t.host_ip for t in self._neighbours()} | {my_ip}),
        )
        if (model, version) in self.doubted:
            hosts = [my_ip]
        origin = self._origin()
        try:
            return _manifest.read_digests(
                hosts,
                my_ip,
                lambda host: self.client.digests(host, model, version),
                lambda: origin.manifest(model, version).digests,
            )
        finally:
            origin.close_idle()

    def _load(self, model: ids.ModelName, version: ids.WeightsVersion) -> bool:
        """Order the load and wait until it is in effect."""
        layers = self._layers()
        before = self.target.report(layers)
        if before.order_in_progress:
            return False
        self.reporter.announce_switch()
        eventlet.sleep(ANNOUNCE_S)
        begun = self.target.load(
            model,
            version,
            orders_begun=before.orders_begun,
            cancel_running=self._may_cut(),
        )
        while begun:
            report = self.target.report(layers)
            self.reporter.take(report)
            if report.weights.get(model) == version:
                return True
            if (
                not report.order_in_progress
                and report.orders_begun != before.orders_begun + 1
            ):
                return False
            eventlet.sleep(LOAD_CHECK_S)
        return False

    def _to_fetch(self, model: ids.ModelName) -> ids.WeightsVersion:
        desired_since = self.view.desired_since.get(model)
        if not desired_since:
            return FIRST_VERSION
        whole = [
            store.version
            for store in self.peer_server.stores
            if store.model == model and store.whole_at is not None
        ]
        return _schedule.choose_version(
            desired_since,
            self._held(model),
            whole,
            now=time.monotonic(),
            bound_s=self.settings.bounds.version_ms / MS_PER_S
            - _schedule.ENTRY_MARGIN_S,
            bring_s=self._bring_s(),
        )

    def _bring_s(self) -> float:
        """Return the time from naming a version until it can be loaded."""
        return self._fetch_s(self._engine().chunks) + _schedule.LOAD_S

    def _fetch_s(self, pieces: int) -> float:
        """Return the time that fetching some pieces takes, in seconds."""
        link_s = pieces * self._engine().chunk_bytes / self.bucket.bytes_per_s
        return link_s * _schedule.SWARM_FACTOR

    def _to_load(self, model: ids.ModelName) -> _pieces.PieceStore | None:
        """Return the newest whole version that the target lacks."""
        if self.reporter.latest is None:
            return None
        held = self._held(model)
        whole = [
            store
            for store in self.peer_server.stores
            if store.model == model
            and store.version > held
            and not store.missing
        ]
        return max(whole, key=lambda s: s.version, default=None)

    def _turn(
        self, model: ids.ModelName, version: ids.WeightsVersion
    ) -> float:
        """Return when this target switches; others have other turns."""
        targets = self.view.targets_of_service(self._service())
        ips = sorted({t.host_ip for t in targets})
        my_ip = self.settings.host.ip
        desired_since = self.view.desired_since.get(model, {}).get(version)
        if desired_since is None or my_ip not in ips:
            return 0.0
        return _schedule.switch_at(
            desired_since,
            bound_s=self.settings.bounds.version_ms / MS_PER_S,
            bring_s=self._bring_s(),
            place=ips.index(my_ip),
            count=len(ips),
        )

    def _switch_in_s(self) -> float | None:
        """Return the time until the target loads other weights."""
        model = self._model()
        if model is None or not self._held(model):
            return None
        return min(
            (
                self._loadable_in_s(store)
                for store in self.peer_server.stores
                if store.model == model and store.version > self._held(model)
            ),
            default=None,
        )

    def _loadable_in_s(self, store: _pieces.PieceStore) -> float:
        """Return the time until a version is here and its turn has come."""
        turn_in_s = self._turn(store.model, store.version) - time.monotonic()
        return max(turn_in_s, self._fetch_s(len(store.missing)))

    def _may_cut(self) -> bool:
        """Whether all streams of the service can go on elsewhere."""
        service = self._service()
        return all(
            route.retry_mode is directory.RetryMode.RESUME
            for routes in self.view.configuration.routes.values()
            for route in routes
            if any(b.service == service for b in route.backends)
        )

    def _bringer(
        self, model: ids.ModelName, store: _pieces.PieceStore
    ) -> _bring.Bringer:
        return _bring.Bringer(
            target=self.target,
            origin=self._origin(),
            store=store,
            swarm=self._swarm(model, store.version),
            client=self.client,
            news=self.news,
            wanted=lambda: self._to_fetch(model),
            bucket=self.bucket,
            piece_bytes=self._engine().chunk_bytes,
        )

    def _swarm(
        self, model: ids.ModelName, version: ids.WeightsVersion
    ) -> _pick.Swarm:
        my_ip = self.settings.host.ip
        peers = _pick.peers_of(
            self._neighbours(),
            self.regions,
            model=model,
            version=version,
            my_ip=my_ip,
        )
        me = _pick.Peer(
            host_ip=my_ip, region=self.settings.host.region, holds=False
        )
        return _pick.Swarm(me=me, peers=peers, count=self._piece_count())

    def _neighbours(self) -> list[directory.Target]:
        """Return the service's targets, read from the store of late."""
        if time.monotonic() - self.targets_read_at > PEERS_LIFE_S:
            self.targets.relist()
            self.targets_read_at = time.monotonic()
        return self.view.targets_of_service(self._service())

    def _holds(self, model: str, version: int) -> bool:
        return self._held(ids.ModelName(model)) == version

    def _piece_count(self) -> int:
        engine = self._engine()
        return engine.chunks if engine else 0

    def _forget_pieces(self) -> None:
        idle_s = time.monotonic() - self.peer_server.asked_at
        if idle_s < PIECES_LIFE_S:
            return
        self.peer_server.read_back.clear()
        for store in self.peer_server.stores:
            if store.version <= self._held(store.model):
                store.pieces.clear()

    def _held(self, model: ids.ModelName) -> int:
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
                address=found.address, connections=ORIGIN_CONNECTIONS
            )
        return self.origin


def _ms_since(moment: float) -> int:
    return int((time.monotonic() - moment) * MS_PER_S)
