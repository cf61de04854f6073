"""Brings configuration and host list from the platform to every process.

In each zone the processes form a tree by rendezvous hash. The first two are
watchers: they hold the platform's watch. Every other one asks its parent,
which holds the question until it has something newer. A child whose parent
does not answer asks the next process before it, at last a watcher; only
when none answers does it ask the platform itself.
"""

import hashlib
import logging
import random

import eventlet
import msgspec

from zinniadyke.control import _head
from zinniadyke.control import _store
from zinniadyke import errors
from zinniadyke import peers
from zinniadyke import platform
from zinniadyke import rendezvous

LOG = logging.getLogger(__name__)

WATCHERS_PER_ZONE = 2
FANOUT = 8
HOLD_S = 1.0
ANSWER_SLACK_S = 0.5
HOSTS_INTERVAL_S = 1.0
WATCH_WAIT_S = 10.0
RETRY_S = 0.2


class Syncer:
    """Keeps a process's configuration and host list new.

    Parameters
    ----------
    me
        This process's own record.
    connect
        Returns the connection to ``ip:port``.
    hosts_changed
        Called when a host list has come.
    seeds
        ``ip:port`` of peers to ask when neither the platform nor a host
        list is there.
    """

    def __init__(
        self,
        *,
        me: platform.Host,
        store: _store.ConfigStore,
        client: platform.PlatformClient,
        connect,
        hosts_changed,
        seeds: list[str],
    ) -> None:
        """Hold the parts; ``start`` begins the tasks."""
        self.me = me
        self.store = store
        self.client = client
        self.connect = connect
        self.hosts_changed = hosts_changed
        self.seeds = seeds
        self.hosts: list[platform.Host] = []
        self.hosts_digest = ""
        self.watching = False
        self.platform_revision = 0
        self.tasks: list[eventlet.greenthread.GreenThread] = []

    def start(self) -> None:
        """Start the tasks that follow configuration and hosts."""
        self.tasks = [
            eventlet.spawn(self._follow),
            eventlet.spawn(self._poll_hosts),
        ]

    def stop(self) -> None:
        """Stop the tasks."""
        for task in self.tasks:
            task.kill()

    def serve(self, inbound: peers.Inbound) -> None:
        """Answer a child, as soon as there is something newer."""
        question = inbound.message
        delta = self.store.delta_from(question.revision)
        stale_hosts = self._newer_hosts(question)
        if delta is None and stale_hosts is None:
            self.store.wait_for_newer(question.revision, question.wait_s)
            delta = self.store.delta_from(question.revision)
            stale_hosts = self._newer_hosts(question)
        inbound.reply(peers.SyncReply(delta=delta, hosts=stale_hosts))

    def line(self) -> list[platform.Host]:
        """Return the processes of the zone, watchers first."""
        zone = [h for h in self.hosts if h.zone == self.me.zone]
        return sorted(zone, key=lambda h: rendezvous.weight("sync", h.name))

    def _newer_hosts(self, question: peers.Sync) -> list[platform.Host] | None:
        if not self.hosts or question.hosts_digest == self.hosts_digest:
            return None
        return self.hosts

    def _follow(self) -> None:
        while True:
            try:
                self._follow_once()
            except errors.ZinniadykeError as error:
                LOG.info(
                    "configuration source failed",
                    extra={"error": error.message},
                )
                eventlet.sleep(RETRY_S * random.uniform(0.5, 1.5))
            except Exception:
                LOG.exception("configuration sync failed")
                eventlet.sleep(RETRY_S)

    def _follow_once(self) -> None:
        parents = self._parents()
        self.watching = not parents
        for address in parents:
            if self._ask(address):
                return
        try:
            self._watch()
        except errors.PlatformError:
            if self.store.revision == 0 and self._ask_seeds():
                return
            raise

    def _parents(self) -> list[str]:
        """Return the addresses to ask in turn; none for a watcher."""
        line = self.line()
        names = [h.name for h in line]
        if self.me.name not in names:
            return [h.peer for h in line[:WATCHERS_PER_ZONE]]
        position = names.index(self.me.name)
        if position < WATCHERS_PER_ZONE:
            return []
        parent = (position - WATCHERS_PER_ZONE) // FANOUT
        order = [parent, *range(WATCHERS_PER_ZONE)]
        return [line[i].peer for i in dict.fromkeys(order)]

    def _ask_seeds(self) -> bool:
        return any(self._ask(address) for address in self.seeds)

    def _ask(self, address: str) -> bool:
        question = peers.Sync(
            host=self.me.name,
            revision=self.store.revision,
            hosts_digest=self.hosts_digest,
            wait_s=HOLD_S,
        )
        try:
            reply, _ = self.connect(address).ask(
                question, HOLD_S + ANSWER_SLACK_S
            )
        except errors.PeerTimeoutError:
            return False
        if reply.delta is not None:
            self.store.install(reply.delta)
        if reply.hosts is not None:
            self.set_hosts(reply.hosts)
        return True

    def _watch(self) -> None:
        stored = self.client.watch(
            _head.HEAD_KEY,
            purpose=platform.Purpose.CONFIGURATION,
            after=self.platform_revision,
            wait_s=WATCH_WAIT_S if self.watching else HOLD_S,
        )
        if stored is None:
            return
        head = _head.decode_head(stored.value)
        if head.revision > self.store.revision:
            self.store.install(self._delta(head))
        self.platform_revision = stored.revision

    def _delta(self, head: _head.Head) -> peers.Delta:
        changed = {}
        for key, digest in head.objects.items():
            mine = self.store.documents.get(key)
            if mine is None or _head.document_digest(mine) != digest:
                changed[key] = _head.read_document(self.client, digest)
        removed = [k for k in self.store.documents if k not in head.objects]
        return peers.Delta(
            base=self.store.revision,
            revision=head.revision,
            changed=changed,
            removed=removed,
        )

    def _poll_hosts(self) -> None:
        while True:
            if not self.hosts or not self._parents():
                try:
                    self.set_hosts(self.client.hosts())
                except errors.PlatformError as error:
                    LOG.info("host list", extra={"error": error.message})
            eventlet.sleep(HOSTS_INTERVAL_S * random.uniform(0.8, 1.2))

    def set_hosts(self, hosts: list[platform.Host]) -> None:
        """Put a host list in force."""
        encoded = msgspec.json.encode(hosts)
        self.hosts = hosts
        self.hosts_changed()
        self.hosts_digest = hashlib.sha256(encoded).hexdigest()[:16]
