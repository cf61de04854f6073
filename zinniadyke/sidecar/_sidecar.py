"""The process beside a target on the users' platform."""

import logging
import time

import eventlet
import urllib3

from zinniadyke import directory
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import platform
from zinniadyke import settings
from zinniadyke.sidecar import _bring
from zinniadyke.sidecar import _load_reporter
from zinniadyke.sidecar import _peer_server
from zinniadyke.sidecar import _pieces
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
ORIGIN_CONNECTIONS = 2


class Sidecar:
    """Keeps the target beside it on the weights that are wanted."""

    def __init__(self, *, loaded: settings.PlatformProcessSettings) -> None:
        """Bind the sockets; :meth:`start` works."""
        self.settings = loaded
        host = loaded.host
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
            address=f"{host.ip}:{host.ports[0]}", target=self.target
        )
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
        )
        if store.missing:
            bringer.adopt_staged()
        bringer.fetch()
        fetched = time.monotonic()
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
            model, version, orders=before.orders, cut=False
        ):
            return False
        while self._wanted(model) >= version:
            report = self.target.report(layers)
            self.reporter.take(report)
            if report.weights.get(model) == version:
                return True
            if not report.order_runs and report.orders != before.orders + 1:
                return False
            eventlet.sleep(0.05)
        return False

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
        return self.view.named.get(model, FIRST_VERSION)

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
