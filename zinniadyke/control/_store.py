"""The configuration that a process uses, with its recent deltas."""

import collections
import logging

import eventlet
from eventlet import event

from zinniadyke.control import _accept
from zinniadyke import decoding
from zinniadyke import objects
from zinniadyke import peers
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

MAX_HISTORY_DELTAS = 128


class ConfigStore:
    """Holds the newest configuration that this process has received.

    An older revision never replaces a newer one.

    Attributes
    ----------
    documents
        Encoded document of each object, by object key.
    history
        The latest installed deltas, oldest first; a whole configuration
        clears them.
    changed
        Event that is sent, and replaced, with each installed revision.
    """

    def __init__(self) -> None:
        """Start with the empty configuration, revision 0."""
        self.configuration = objects.Configuration()
        self.documents: dict[str, bytes] = {}
        self.history: collections.deque[peers.Delta] = collections.deque(
            maxlen=MAX_HISTORY_DELTAS
        )
        self.changed = event.Event()

    @property
    def revision(self) -> int:
        """The current revision."""
        return self.configuration.revision

    def install(self, delta: peers.Delta) -> bool:
        """Replace the configuration by a newer one.

        Returns
        -------
        bool
            False if the delta is not newer, does not apply to the current
            revision, or cannot be decoded.
        """
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
        except (KeyError, *decoding.UNREADABLE) as error:
            LOG.error(
                "configuration delta rejected", extra={"error": str(error)}
            )
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
        """Wait for a revision above ``revision``; False on timeout."""
        with eventlet.Timeout(timeout_s, False):
            while self.revision <= revision:
                self.changed.wait()
        return self.revision > revision

    def delta_from(self, revision: int) -> peers.Delta | None:
        """Return the delta from ``revision`` to the current one.

        It holds the whole configuration when the history does not reach
        back to ``revision``, and is None when there is nothing newer.
        """
        if revision >= self.revision:
            return None
        deltas = [d for d in self.history if d.base >= revision]
        if not deltas or deltas[0].base != revision:
            return peers.Delta(
                base=0,
                revision=self.revision,
                changed=self.documents,
                removed=[],
            )
        return _merge_deltas(deltas)

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


def _merge_deltas(deltas: list[peers.Delta]) -> peers.Delta:
    changed: dict[str, bytes] = {}
    removed: set[str] = set()
    for step in deltas:
        for key in step.removed:
            changed.pop(key, None)
            removed.add(key)
        changed.update(step.changed)
        removed -= step.changed.keys()
    return peers.Delta(
        base=deltas[0].base,
        revision=deltas[-1].revision,
        changed=changed,
        removed=sorted(removed),
    )
