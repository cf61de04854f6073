"""Stages the versions that current rollouts want."""

import logging

import eventlet

from zinniadyke.control import _node
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import objects
from zinniadyke import origin
from zinniadyke import peers
from zinniadyke import platform
from zinniadyke import weights

LOG = logging.getLogger(__name__)

POLL_S = 1.0
RETRY_S = 2.0
RETAIN_HOSTS = 2
ORIGIN_COPIES_FOR_TIME = 4
APPEAR_TIMEOUT_S = 20.0


class Stager:
    """Follows the configuration, fetches versions and serves chunks.

    Parameters
    ----------
    budget_bytes
        Memory for staged weights.
    upload, download
        Pacing of bulk bytes per direction.
    """

    def __init__(
        self,
        *,
        node: _node.Node,
        service: ids.ServiceName,
        budget_bytes: int,
        upload: weights.TokenBucket,
        download: weights.TokenBucket,
    ) -> None:
        """Start with nothing staged."""
        self.node = node
        self.service = service
        self.budget_bytes = budget_bytes
        self.upload = upload
        self.download = download
        self.origin_client = origin.OriginClient()
        self.stages: dict[str, weights.Stage] = {}
        self.fetchers: dict[str, weights.ChunkFetcher] = {}
        self.tasks: dict[str, eventlet.greenthread.GreenThread] = {}
        self.done: set[str] = set()
        self.waiting = 0

    def run(self) -> None:
        """Follow the configuration until killed."""
        while True:
            revision = self.node.store.revision
            wanted = self.wanted()
            for name in [n for n in self.stages if n not in wanted]:
                self._drop(name)
            for name, digest in wanted.items():
                self._start(name, digest)
            self.node.store.wait_above(revision, POLL_S)

    def wanted(self) -> dict[str, objects.Version]:
        """Return ``model/version`` of each current rollout."""
        configuration = self.node.configuration
        found = {}
        for model in configuration.models_of(self.service):
            current = configuration.current_rollout(model)
            if current is None:
                continue
            version = configuration.get("version", current[1].version, model)
            if version is not None:
                found[f"{model}/{current[1].version}"] = version
        return found

    def serve(self, inbound: peers.Inbound) -> None:
        """Answer GetChunk: at once, or once the chunk has arrived."""
        message = inbound.message
        name, index = message.version, message.index
        stage = self.stages.get(name)
        data = stage.chunks.get(index) if stage else None
        if data is None and name not in self.done:
            inbound.reply(peers.ChunkPending(version=name, index=index))
            stage = stage or self._wait_stage(name)
            data = stage.wait(index) if stage else None
        if data is None:
            inbound.reply(peers.ChunkMissing(version=name, index=index))
            return
        self.upload.take(len(data))
        inbound.reply(peers.ChunkFound(version=name, index=index), data)

    def activated(self, name: str) -> None:
        """Keep or free a version's bytes once the engine has them."""
        model = name.partition("/")[0]
        eventlet.spawn(self._free_when_complete, name, model)

    @property
    def progress(self) -> float:
        """Least progress of the versions that are being staged."""
        return min((s.progress for s in self.stages.values()), default=0.0)

    def staged(self) -> list[str]:
        """Return the versions whose chunks are all verified."""
        return [name for name, s in self.stages.items() if s.complete]

    def _wait_stage(self, name: str) -> weights.Stage | None:
        with eventlet.Timeout(APPEAR_TIMEOUT_S, False):
            while name not in self.stages:
                eventlet.sleep(POLL_S / 20)
        return self.stages.get(name)

    def _start(self, name: str, version: objects.Version) -> None:
        if name in self.stages or name in self.done:
            return
        stage = weights.Stage(digest=ids.Digest(version.digest))
        self.stages[name] = stage
        self.tasks[name] = eventlet.spawn(self._fetch, name, version, stage)

    def _fetch(
        self, name: str, version: objects.Version, stage: weights.Stage
    ) -> None:
        while True:
            try:
                fetcher = self._fetcher(name, version, stage)
                self.fetchers[name] = fetcher
                fetcher.run()
                self.waiting = 0
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
        copies = 1
        if current and current[1].favour is objects.Favour.TIME:
            copies = ORIGIN_COPIES_FOR_TIME
        return weights.ChunkFetcher(
            me=self.node.me,
            version=name,
            source=version.source,
            stage=stage,
            placement=lambda: weights.Placement.of(self._hosts(), name),
            connect=self.node.connect,
            origin_client=self.origin_client,
            origin_copies=copies,
            ingress=self.download,
        )

    def _hosts(self) -> list[platform.Host]:
        return self.node.hosts(platform.HostRole.TARGET, self.service)

    def _free_when_complete(self, name: str, model: str) -> None:
        return

    def _drop(self, name: str) -> None:
        task = self.tasks.pop(name, None)
        if task is not None:
            task.kill()
        self.fetchers.pop(name, None)
        self.stages.pop(name).close()
