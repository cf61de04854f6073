"""The configuration that a process has in force, and how it got there."""

import collections
import logging

import eventlet
from eventlet import event
import msgspec

from zinniadyke.control import _accept
from zinniadyke import objects
from zinniadyke import peers
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

HISTORY_DELTAS = 128


class ConfigStore:
    """Holds the newest configuration and never goes back to an older one."""

    def __init__(self) -> None:
        """Start at revision 0, which holds nothing."""
        self.configuration = objects.Configuration()
        self.documents: dict[str, bytes] = {}
        self.history: collections.deque[peers.Delta] = collections.deque(
            maxlen=HISTORY_DELTAS
        )
        self.changed = event.Event()

    @property
    def revision(self) -> int:
        """The revision in force."""
        return self.configuration.revision

    def install(self, delta: peers.Delta) -> bool:
        """Put a newer configuration in force; False if it does not fit."""
        if delta.revision <= self.revision:
            return False
        if delta.base not in (0, self.revision):
            return False
        documents = {} if delta.base == 0 else dict(self.documents)
        for key in delta.removed:
            documents.pop(key, None)
        documents.update(delta.changed)
        try:
            configuration = self._decode(delta, documents)
        except (msgspec.MsgspecError, KeyError, ValueError) as error:
            LOG.error("unreadable delta", extra={"error": str(error)})
            return False
        self.documents = documents
        self.configuration = configuration
        if delta.base == 0:
            self.history.clear()
        else:
            self.history.append(delta)
        changed, self.changed = self.changed, event.Event()
        changed.send()
        LOG.info("in force", extra={"revision": self.revision})
        telemetry.gauge(telemetry.Metric.CONFIG_REVISION, self.revision)
        return True

    def wait_for_newer(self, revision: int, timeout_s: float) -> bool:
        """Wait until the revision is above ``revision``; False if not."""
        with eventlet.Timeout(timeout_s, False):
            while self.revision <= revision:
                self.changed.wait()
        return self.revision > revision

    def delta_from(self, revision: int) -> peers.Delta | None:
        """Return what leads from ``revision`` to the one in force."""
        if revision >= self.revision:
            return None
        steps = [d for d in self.history if d.base >= revision]
        if not steps or steps[0].base != revision:
            return peers.Delta(
                base=0,
                revision=self.revision,
                changed=self.documents,
                removed=[],
            )
        return _merge(steps)

    def _decode(
        self, delta: peers.Delta, documents: dict[str, bytes]
    ) -> objects.Configuration:
        found = {}
        for key, document in documents.items():
            parsed = objects.ObjectKey.parse(key)
            before = self.configuration.objects.get(parsed)
            if before is not None and self.documents.get(key) == document:
                found[parsed] = before
            else:
                found[parsed] = _accept.decode_object(parsed, document)
        return objects.Configuration(revision=delta.revision, objects=found)


def _merge(steps: list[peers.Delta]) -> peers.Delta:
    changed: dict[str, bytes] = {}
    removed: set[str] = set()
    for step in steps:
        for key in step.removed:
            changed.pop(key, None)
            removed.add(key)
        changed.update(step.changed)
        removed -= step.changed.keys()
    return peers.Delta(
        base=steps[0].base,
        revision=steps[-1].revision,
        changed=changed,
        removed=sorted(removed),
    )
