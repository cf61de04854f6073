"""Stages the versions that current rollouts want on this host."""

import logging
import time

import eventlet
from eventlet import event

from zinniadyke.agent import _admission_gate
from zinniadyke.agent import _suspended_stages
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

STAGING_CHECK_INTERVAL_S = 1.0
FETCH_RETRY_S = 2.0
IDLE_RETENTION_S = 20.0
SUSPENDED_RETENTION_S = 30.0
ORIGIN_COPIES_FAVOURING_TIME = 1.5


class Stager:
    """Follows the configuration and fetches versions.

    Parameters
    ----------
    gate
        The target's gate; its version is the one being served.
    budget_bytes
        Memory for staged weights, in bytes.
    download_bucket
        Limits the bytes per second that are received.
    """

    def __init__(
        self,
        *,
        node: control.Node,
        service: ids.ServiceName,
        gate: _admission_gate.AdmissionGate,
        budget_bytes: int,
        download_bucket: weights.TokenBucket,
    ) -> None:
        """Create a stager with no staged versions."""
        self.node = node
        self.service = service
        self.gate = gate
        self.budget_bytes = budget_bytes
        self.download_bucket = download_bucket
        self.origin_client = origin.OriginClient()
        self.stages: dict[str, weights.StagingArea] = {}
        self.suspended_stages = _suspended_stages.SuspendedStages()
        self.manifests: dict[str, weights.Manifest] = {}
        self.fetchers: dict[str, weights.ChunkFetcher] = {}
        self.tasks: dict[str, eventlet.greenthread.GreenThread] = {}
        self.placements: dict[tuple[str, str, int], weights.Placement] = {}
        self.last_used_at: dict[str, float] = {}
        self.freed_versions: set[str] = set()
        self.choose = weights.candidates
        self.waiting = 0
        self.engine_checked = event.Event()

    def run(self) -> None:
        """Follow the configuration until killed.

        Fetching starts after the first check of what the engine holds.
        """
        self.engine_checked.wait()
        while True:
            revision = self.node.store.revision
            wanted = self.wanted()
            for name in [n for n in self.stages if n not in wanted]:
                self._suspend(name)
            self.suspended_stages.free_older_than(SUSPENDED_RETENTION_S)
            for name, version in wanted.items():
                self._start_fetching(name, version)
                self._free_if_idle(name)
            self.node.store.wait_for_newer(revision, STAGING_CHECK_INTERVAL_S)

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
            version = self._declared_version(name)
            if version is not None and self._is_selected(name):
                found[name] = version
        return found

    def held_chunk(self, name: str, index: int) -> bytes | None:
        """Return a verified chunk; None if it is not held."""
        if index == weights.MANIFEST_INDEX and name in self.manifests:
            return self.manifests[name].encode()
        stage = self.stages.get(name)
        return stage.chunks.get(index) if stage else None

    def may_stage(self, name: str) -> bool:
        """Return whether the version is, or may soon be, staged here."""
        if name in self.stages:
            return True
        return name not in self.freed_versions and self.gate.version != name

    def note_used(self, name: str) -> None:
        """Record a use by the engine or a peer, which delays freeing."""
        self.last_used_at[name] = time.monotonic()

    def restage(self, name: str) -> None:
        """Allow a freed version to be fetched again for the engine."""
        self.freed_versions.discard(name)

    def note_engine_checked(self) -> None:
        """Let ``run`` start to fetch."""
        if not self.engine_checked.ready():
            self.engine_checked.send()

    def load_manifest(self, name: str) -> weights.Manifest | None:
        """Return a declared version's manifest; None if not declared.

        Raises
        ------
        WeightsError
            The manifest cannot be fetched.
        """
        if name in self.manifests:
            return self.manifests[name]
        version = self._declared_version(name)
        if version is None:
            return None
        stage = weights.StagingArea(digest=ids.Digest(version.digest))
        fetcher = self._make_fetcher(name, version, stage)
        self.manifests[name] = fetcher.fetch_manifest()
        return self.manifests[name]

    @property
    def progress(self) -> float:
        """Lowest progress of the versions being staged, 0 if none are."""
        return min((s.progress for s in self.stages.values()), default=0.0)

    def staged(self) -> list[str]:
        """Return the versions whose chunks are all verified."""
        return [name for name, s in self.stages.items() if s.complete]

    def _declared_version(self, name: str) -> objects.Version | None:
        model, _, version = name.partition("/")
        return self.node.configuration.get("version", version, model)

    def _start_fetching(self, name: str, version: objects.Version) -> None:
        if name in self.stages or name in self.freed_versions:
            return
        if self.gate.version == name and not self._is_seed(name):
            return
        stage = self._resume_or_create_stage(name, version)
        self.stages[name] = stage
        self.tasks[name] = eventlet.spawn(self._fetch, name, version, stage)

    def _resume_or_create_stage(
        self, name: str, version: objects.Version
    ) -> weights.StagingArea:
        """Return the version's suspended stage, or a new one.

        Other suspended stages are freed to make room.
        """
        resumed = self.suspended_stages.take(name, version.digest)
        self.suspended_stages.free_older_than(0.0)
        return resumed or weights.StagingArea(
            digest=ids.Digest(version.digest)
        )

    def _fetch(
        self, name: str, version: objects.Version, stage: weights.StagingArea
    ) -> None:
        while True:
            try:
                fetcher = self._make_fetcher(name, version, stage)
                self.fetchers[name] = fetcher
                self.manifests[name] = fetcher.fetch_manifest()
                fetcher.run()
                self.waiting = 0
                _count_source_bytes(fetcher.counts)
                LOG.info(
                    "staged", extra=_source_log_fields(name, fetcher.counts)
                )
                return
            except errors.ZinniadykeError as error:
                self.waiting = error.code.number
                LOG.warning(
                    "staging failed, will retry",
                    extra={
                        "version": name,
                        "code": error.code.number,
                        "error": error.message,
                    },
                )
            eventlet.sleep(FETCH_RETRY_S)

    def _make_fetcher(
        self, name: str, version: objects.Version, stage: weights.StagingArea
    ) -> weights.ChunkFetcher:
        model = name.partition("/")[0]
        current = self.node.configuration.current_rollout(model)
        copies = 1.0
        if current and current[1].favour is objects.Favour.TIME:
            copies = ORIGIN_COPIES_FAVOURING_TIME
        other_stages_bytes = sum(
            s.size for n, s in self.stages.items() if n != name
        )
        return weights.ChunkFetcher(
            me=self.node.me,
            version=name,
            source=version.source,
            stage=stage,
            placement=lambda: self._placement(name),
            connect=self.node.connect,
            origin_client=self.origin_client,
            origin_copies=copies,
            budget_bytes=max(1, self.budget_bytes - other_stages_bytes),
            ingress_limiter=self.download_bucket,
            choose=self.choose,
        )

    def _placement(self, name: str) -> weights.Placement:
        revision = self.node.store.revision
        key = (name, self.node.sync.hosts_digest, revision)
        if self.placements and next(iter(self.placements))[1:] != key[1:]:
            self.placements.clear()
        if key not in self.placements:
            hosts = self._selected_hosts(name)
            self.placements[key] = weights.Placement.of(hosts, name)
        return self.placements[key]

    def _selected_hosts(self, name: str) -> list[platform.Host]:
        """Return the hosts that stage ``name``.

        For a rollout that wants N replicas these are N of the live hosts,
        so that other hosts do not slow down their downloads.
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

    def _is_selected(self, name: str) -> bool:
        placement = self._placement(name)
        me = self.node.me.name
        return any(h.name == me for zone in placement.zones for h in zone)

    def _free_if_idle(self, name: str) -> None:
        """Free a version that is served here and that no peer requests."""
        if name not in self.stages or self.gate.version != name:
            return
        idle_s = time.monotonic() - self.last_used_at.get(name, 0.0)
        if idle_s >= IDLE_RETENTION_S and not self._is_seed(name):
            self.freed_versions.add(name)
            self._discard(name)

    def _is_seed(self, name: str) -> bool:
        seeds = weights.seeds(self._placement(name))
        return self.node.me.name in [host.name for host in seeds]

    def _discard(self, name: str) -> None:
        self._stop_fetching(name)
        self.stages.pop(name).close()

    def _suspend(self, name: str) -> None:
        """Stop fetching; keep the chunks for a while for reuse."""
        self._stop_fetching(name)
        self.suspended_stages.keep(name, self.stages.pop(name))

    def _stop_fetching(self, name: str) -> None:
        task = self.tasks.pop(name, None)
        if task is not None:
            task.kill()


def _source_log_fields(
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


def _count_source_bytes(counts: weights.SourceCounts) -> None:
    peer_bytes = counts.same_zone + counts.other_zone
    metric = telemetry.Metric
    telemetry.count(metric.CHUNKS_ORIGIN_BYTES, counts.origin)
    telemetry.count(metric.CHUNKS_PEER_BYTES, peer_bytes)
    telemetry.count(metric.CHUNKS_CORRUPT, counts.corrupt)
