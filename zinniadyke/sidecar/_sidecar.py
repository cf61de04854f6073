"""The process beside a target on the users' platform."""

import logging
import time

import eventlet
import urllib3

from zinniadyke import directory
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import pacing
from zinniadyke import platform
from zinniadyke import settings
from zinniadyke.sidecar import _bring
from zinniadyke.sidecar import _load_reporter
from zinniadyke.sidecar import _peer_server
from zinniadyke.sidecar import _pieces
from zinniadyke.sidecar import _schedule
from zinniadyke.sidecar import _sources

LOG = logging.getLogger(__name__)

# Pause after a failed step.
RETRY_S = 0.2
# A silent registry is asked again this often while nothing is to be done;
# entries tell of new versions sooner.
IDLE_CHECK_S = 10.0
# The list of peers is read again when it is older than this.
PEERS_LIFE_S = 2.0
# Pieces stay in memory this long after the last peer asked for one.
PIECES_LIFE_S = 10.0
# Version that targets hold while none was ever named.
FIRST_VERSION = ids.WeightsVersion(1)
ORIGIN_CONNECTIONS = 4
# Share of the host's link that weights may take; the rest is for requests.
LINK_SHARE = 0.88
LOAD_CHECK_S = 0.05
BYTES_PER_MBIT = 125000
MS_PER_S = 1000.0


class Sidecar:
    """Keeps the target beside it on the weights that are wanted."""

    def __init__(self, *, loaded: settings.PlatformProcessSettings) -> None:
        """Bind the sockets; :meth:`start` works."""
        self.settings = loaded
        host = loaded.host
        self.bulk_rate = host.link_mbps * BYTES_PER_MBIT * LINK_SHARE
        self.regions = {r.zone: r.region for r in host.regions}
        self.view = directory.View()
        self.store = platform.StoreClient(address=loaded.store.address)
        self.target = platform.ModelServerClient(address=loaded.target.address)
        self.followers = {
            "configuration": platform.follow_configuration(
                self.store, self.view
            ),
            "targets": platform.follow_targets(self.store, self.view),
            "versions": platform.follow_versions(self.store, self.view),
        }
        self.peer_server = _peer_server.PeerServer(
            address=f"{host.ip}:{host.ports[0]}",
            target=self.target,
            bytes_per_s=self.bulk_rate,
        )
        self.bucket = pacing.TokenBucket(bytes_per_s=self.bulk_rate)
        self.reporter = _load_reporter.LoadReporter(
            ip=host.ip,
            port=host.ports[0],
            address=loaded.target.address,
            target=self.target,
            view=self.view,
        )
        self.origin: platform.OriginClient | None = None
        self.pools: dict[str, urllib3.HTTPConnectionPool] = {}
        self.targets_read_at = float("-inf")
        self.versions_read_at = float("-inf")
        self.changed = directory.Signal()
        self.view.on_change.append(self.changed.send)
        self.stopping = False

    def start(self) -> None:
        """Work until :meth:`shut_down`."""
        eventlet.spawn_n(self.peer_server.run)
        eventlet.spawn_n(self.reporter.receive)
        eventlet.spawn_n(self.reporter.run)
        eventlet.spawn_n(self._run)

    def shut_down(self) -> bool:
        """End at once; what lies at the target stays there."""
        self.stopping = True
        return True

    def _run(self) -> None:
        while not self.stopping:
            try:
                self._step()
            except _bring.SupersededError:
                LOG.info("weights superseded")
            except errors.ZinniadykeError as error:
                LOG.warning("weights", extra={"reason": error.message})
                eventlet.sleep(RETRY_S)
            except Exception:
                LOG.exception("weights")
                eventlet.sleep(RETRY_S)

    def _step(self) -> None:
        self._learn()
        report = self.reporter.latest
        model = self._model()
        if model is None or report is None:
            self.changed.wait(RETRY_S)
            return
        wanted = self._wanted(model)
        if report.weights.get(model) == wanted:
            self._forget_pieces()
            self.changed.wait(RETRY_S)
            return
        self._bring(model, wanted)

    def _learn(self) -> None:
        """Read what is missing or old of the platform's lists."""
        now = time.monotonic()
        if self.view.configuration is None:
            self.followers["configuration"].step()
        if now - self.versions_read_at > IDLE_CHECK_S:
            self.followers["versions"].relist()
            self.versions_read_at = now

    def _bring(
        self, model: ids.ModelName, version: ids.WeightsVersion
    ) -> None:
        begun = time.monotonic()
        store = self._piece_store(model, version)
        bringer = _bring.Bringer(
            target=self.target,
            origin=self._origin(),
            store=store,
            me_ip=self.settings.host.ip,
            port=self.settings.host.ports[0],
            peers=self._peers(model, version),
            wanted=lambda: self._wanted(model),
            pools=self.pools,
            bucket=self.bucket,
            piece_bytes=self._engine().chunk_bytes,
        )
        if store.missing:
            bringer.adopt_staged()
        bringer.fetch()
        fetched = time.monotonic()
        if self._held(model):
            self._wait_for_turn(model, version)
        bringer.verify()
        loaded = self._load(model, version)
        LOG.info(
            "weights brought" if loaded else "order refused",
            extra={
                "model": model,
                "version": version,
                "from_origin": bringer.from_origin,
                "from_peers": bringer.from_peers,
                "fetch_ms": int((fetched - begun) * 1000),
                "total_ms": int((time.monotonic() - begun) * 1000),
            },
        )

    def _load(self, model: ids.ModelName, version: ids.WeightsVersion) -> bool:
        """Order the load and wait until it is in effect."""
        layers = self._layers()
        before = self.target.report(layers)
        if before.order_runs:
            eventlet.sleep(RETRY_S)
            return False
        if not self.target.load(
            model, version, orders=before.orders, cut=self._may_cut()
        ):
            return False
        while True:
            report = self.target.report(layers)
            self.reporter.take(report)
            if report.weights.get(model) == version:
                return True
            if not report.order_runs and report.orders != before.orders + 1:
                return False
            eventlet.sleep(LOAD_CHECK_S)

    def _piece_store(
        self, model: ids.ModelName, version: ids.WeightsVersion
    ) -> _pieces.PieceStore:
        old = self.peer_server.store
        if old is not None and (old.model, old.version) == (model, version):
            return old
        manifest = self._origin().manifest(model, version)
        store = _pieces.PieceStore(
            model=model, version=version, digests=manifest.digests
        )
        if old is not None:
            store.adopt(old)
        self.peer_server.store = store
        return store

    def _forget_pieces(self) -> None:
        store = self.peer_server.store
        idle_s = time.monotonic() - self.peer_server.asked_at
        if store is not None and store.pieces and idle_s > PIECES_LIFE_S:
            store.pieces.clear()

    def _peers(self, model: ids.ModelName, version: ids.WeightsVersion):
        def peers() -> list[_sources.Peer]:
            if time.monotonic() - self.targets_read_at > PEERS_LIFE_S:
                self.followers["targets"].relist()
                self.targets_read_at = time.monotonic()
            return [
                _sources.Peer(
                    host_ip=target.host_ip,
                    region=self.regions.get(target.zone, ""),
                    holds=target.weights.get(model) == version,
                )
                for target in self.view.of_service(self._service())
            ]

        return peers

    def _wanted(self, model: ids.ModelName) -> ids.WeightsVersion:
        named_at = self.view.named_at.get(model)
        if not named_at:
            return FIRST_VERSION
        engine = self._engine()
        size = engine.chunks * engine.chunk_bytes
        return _schedule.choose_version(
            named_at,
            self._held(model),
            now=time.monotonic(),
            bound_s=self.settings.bounds.version_ms / MS_PER_S,
            bring_s=size / self.bulk_rate + _schedule.SWITCH_MARGIN_S,
        )

    def _held(self, model: ids.ModelName) -> int:
        report = self.reporter.latest
        return report.weights.get(model, 0) if report else 0

    def _wait_for_turn(
        self, model: ids.ModelName, version: ids.WeightsVersion
    ) -> None:
        """Wait so that the service's targets switch one after the other."""
        targets = self.view.of_service(self._service())
        ips = [t.host_ip for t in targets]
        my_ip = self.settings.host.ip
        named_at = self.view.named_at.get(model, {}).get(version)
        if named_at is None or my_ip not in ips:
            return
        turn = _schedule.switch_at(
            named_at,
            bound_s=self.settings.bounds.version_ms / MS_PER_S,
            place=ips.index(my_ip),
            count=len(ips),
        )
        eventlet.sleep(max(0.0, turn - time.monotonic()))

    def _may_cut(self) -> bool:
        """Whether all streams of the service can go on elsewhere."""
        service = self._service()
        return all(
            route.repeat is directory.Repeat.RESUME
            for routes in self.view.configuration.routes.values()
            for route in routes
            if any(b.service == service for b in route.backends)
        )

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
