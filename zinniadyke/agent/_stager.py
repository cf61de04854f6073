"""Stages the versions that current rollouts want."""

import logging
import time

import eventlet
from eventlet import event

from zinniadyke.agent import _gate
from zinniadyke.agent import _unwanted
from zinniadyke import control
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import objects
from zinniadyke import origin
from zinniadyke import platform
from zinniadyke import rendezvous
from zinniadyke import telemetry
from zinniadyke import weights

LOG = logging.getLogger(__name__)

POLL_S = 1.0
RETRY_S = 2.0
RETAIN_IDLE_S = 20.0
KEEP_UNWANTED_S = 30.0
ORIGIN_COPIES_FOR_TIME = 1.5


class Stager:
    """Follows the configuration and fetches versions.

    Parameters
    ----------
    gate
        The target's gate, which tells what serves.
    budget_bytes
        Memory for staged weights.
    download
        Pacing of bulk bytes that come in.
    """

    def __init__(
        self,
        *,
        node: control.Node,
        service: ids.ServiceName,
        gate: _gate.Gate,
        budget_bytes: int,
        download: weights.TokenBucket,
    ) -> None:
        """Start with nothing staged."""
        self.node = node
        self.service = service
        self.gate = gate
        self.budget_bytes = budget_bytes
        self.download = download
        self.origin_client = origin.OriginClient()
        self.stages: dict[str, weights.Stage] = {}
        self.unwanted = _unwanted.UnwantedStages()
        self.manifests: dict[str, weights.Manifest] = {}
        self.fetchers: dict[str, weights.ChunkFetcher] = {}
        self.tasks: dict[str, eventlet.greenthread.GreenThread] = {}
        self.placements: dict[tuple[str, str, int], weights.Placement] = {}
        self.used_at: dict[str, float] = {}
        self.freed: set[str] = set()
        self.choose = weights.candidates
        self.waiting = 0
        self.engine_checked = event.Event()

    def run(self) -> None:
        """Follow the configuration until killed.

        Nothing is fetched before it is known what the engine holds.
        """
        self.engine_checked.wait()
        while True:
            revision = self.node.store.revision
            wanted = self.wanted()
            for name in [n for n in self.stages if n not in wanted]:
                self._set_aside(name)
            self.unwanted.free(KEEP_UNWANTED_S)
            for name, version in wanted.items():
                self._start(name, version)
                self._free_if_idle(name)
            self.node.store.wait_for_newer(revision, POLL_S)

    def stop(self) -> None:
        """Stop fetching."""
        for task in self.tasks.values():
            task.kill()

    def wanted(self) -> dict[str, objects.Version]:
        """Return the versions, as ``model/version``, to stage here."""
        configuration = self.node.configuration
        found = {}
        for model in configuration.models_of(self.service):
            current = configuration.current_rollout(model)
            if current is None:
                continue
            if (
                configuration.is_newest_rollout_cancelled(model)
                and self.gate.version
            ):
                continue
            name = f"{model}/{current[1].version}"
            version = self._declared(name)
            if version is not None and self._is_chosen(name):
                found[name] = version
        return found

    def held_chunk(self, name: str, index: int) -> bytes | None:
        """Return a verified chunk, or None."""
        if index == weights.MANIFEST_INDEX and name in self.manifests:
            return self.manifests[name].encode()
        stage = self.stages.get(name)
        return stage.chunks.get(index) if stage else None

    def may_stage(self, name: str) -> bool:
        """Return whether the version is, or may soon be, staged here."""
        if name in self.stages:
            return True
        return name not in self.freed and self.gate.version != name

    def note_used(self, name: str) -> None:
        """Note that the engine or a peer took a version; idle is freed."""
        self.used_at[name] = time.monotonic()

    def restage(self, name: str) -> None:
        """Fetch a version again, since the engine has lost it."""
        self.freed.discard(name)

    def note_engine_checked(self) -> None:
        """Let ``run`` begin to fetch."""
        if not self.engine_checked.ready():
            self.engine_checked.send()

    def load_manifest(self, name: str) -> weights.Manifest | None:
        """Return a declared version's manifest; None if not declared.

        Raises
        ------
        WeightsError
            The manifest cannot be had.
        """
        if name in self.manifests:
            return self.manifests[name]
        version = self._declared(name)
        if version is None:
            return None
        stage = weights.Stage(digest=ids.Digest(version.digest))
        fetcher = self._fetcher(name, version, stage)
        self.manifests[name] = fetcher.fetch_manifest()
        return self.manifests[name]

    @property
    def progress(self) -> float:
        """Least progress of the versions that are being staged."""
        return min((s.progress for s in self.stages.values()), default=0.0)

    def staged(self) -> list[str]:
        """Return the versions whose chunks are all verified."""
        return [name for name, s in self.stages.items() if s.complete]

    def _declared(self, name: str) -> objects.Version | None:
        model, _, version = name.partition("/")
        return self.node.configuration.get("version", version, model)

    def _start(self, name: str, version: objects.Version) -> None:
        if name in self.stages or name in self.freed:
            return
        if self.gate.version == name and not self._is_seed(name):
            return
        stage = self._stage(name, version)
        self.stages[name] = stage
        self.tasks[name] = eventlet.spawn(self._fetch, name, version, stage)

    def _stage(self, name: str, version: objects.Version) -> weights.Stage:
        """Return what was set aside of a version, or an empty stage.

        What was set aside of other versions makes room.
        """
        kept = self.unwanted.take(name, version.digest)
        self.unwanted.free(0.0)
        return kept or weights.Stage(digest=ids.Digest(version.digest))

    def _fetch(
        self, name: str, version: objects.Version, stage: weights.Stage
    ) -> None:
        while True:
            try:
                fetcher = self._fetcher(name, version, stage)
                self.fetchers[name] = fetcher
                self.manifests[name] = fetcher.fetch_manifest()
                fetcher.run()
                self.waiting = 0
                _count_sources(fetcher.counts)
                LOG.info("staged", extra=_source_fields(name, fetcher.counts))
                return
            except errors.ZinniadykeError as error:
                self.waiting = error.code.number
                LOG.warning(
                    "staging waits",
                    extra={
                        "version": name,
                        "code": error.code.number,
                        "error": error.message,
                    },
                )
            eventlet.sleep(RETRY_S)

    def _fetcher(
        self, name: str, version: objects.Version, stage: weights.Stage
    ) -> weights.ChunkFetcher:
        model = name.partition("/")[0]
        current = self.node.configuration.current_rollout(model)
        copies = 1.0
        if current and current[1].favour is objects.Favour.TIME:
            copies = ORIGIN_COPIES_FOR_TIME
        others = sum(s.size for n, s in self.stages.items() if n != name)
        return weights.ChunkFetcher(
            me=self.node.me,
            version=name,
            source=version.source,
            stage=stage,
            placement=lambda: self._placement(name),
            connect=self.node.connect,
            origin_client=self.origin_client,
            origin_copies=copies,
            budget_bytes=max(1, self.budget_bytes - others),
            ingress=self.download,
            choose=self.choose,
        )

    def _placement(self, name: str) -> weights.Placement:
        revision = self.node.store.revision
        key = (name, self.node.sync.hosts_digest, revision)
        if self.placements and next(iter(self.placements))[1:] != key[1:]:
            self.placements.clear()
        if key not in self.placements:
            hosts = self._chosen_hosts(name)
            self.placements[key] = weights.Placement.of(hosts, name)
        return self.placements[key]

    def _chosen_hosts(self, name: str) -> list[platform.Host]:
        """Return the hosts that a rollout of ``name`` is for.

        Of a rollout that wants N replicas these are N of the listed live
        hosts, so that the N are not slowed down by the others.
        """
        hosts = self.node.hosts(platform.HostRole.TARGET, self.service)
        model, _, version = name.partition("/")
        current = self.node.configuration.current_rollout(model)
        if not current or current[1].version != version:
            return hosts
        wanted = current[1].replicas
        if not wanted:
            return hosts
        live = [h for h in hosts if h.state is platform.HostState.LIVE]
        live.sort(key=lambda host: rendezvous.weight(name, host.name))
        return live[:wanted]

    def _is_chosen(self, name: str) -> bool:
        placement = self._placement(name)
        me = self.node.me.name
        return any(h.name == me for zone in placement.zones for h in zone)

    def _free_if_idle(self, name: str) -> None:
        """Free a version that serves here and that no peer asks for."""
        if name not in self.stages or self.gate.version != name:
            return
        idle_s = time.monotonic() - self.used_at.get(name, 0.0)
        if idle_s >= RETAIN_IDLE_S and not self._is_seed(name):
            self.freed.add(name)
            self._drop(name)

    def _is_seed(self, name: str) -> bool:
        seeds = weights.seeds(self._placement(name))
        return self.node.me.name in [host.name for host in seeds]

    def _drop(self, name: str) -> None:
        self._stop_fetching(name)
        self.stages.pop(name).close()

    def _set_aside(self, name: str) -> None:
        """Stop fetching; the chunks stay for a while, if wanted again."""
        self._stop_fetching(name)
        self.unwanted.keep(name, self.stages.pop(name))

    def _stop_fetching(self, name: str) -> None:
        task = self.tasks.pop(name, None)
        if task is not None:
            task.kill()


def _source_fields(
    name: str, counts: weights.SourceCounts
) -> dict[str, object]:
    return {
        "version": name,
        "origin_bytes": counts.origin,
        "same_zone_bytes": counts.same_zone,
        "other_zone_bytes": counts.other_zone,
        "corrupt": counts.corrupt,
        "timeouts": counts.timeouts,
    }


def _count_sources(counts: weights.SourceCounts) -> None:
    peer_bytes = counts.same_zone + counts.other_zone
    metric = telemetry.Metric
    telemetry.count(metric.CHUNKS_ORIGIN_BYTES, counts.origin)
    telemetry.count(metric.CHUNKS_PEER_BYTES, peer_bytes)
    telemetry.count(metric.CHUNKS_CORRUPT, counts.corrupt)
