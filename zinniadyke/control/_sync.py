"""Distributes configuration and host list from the platform to processes.

In each zone the processes form a tree, ordered by rendezvous hash. The first
two are watchers, which watch the platform. Every other process sends long
polls to its parent, which replies as soon as it has something newer. If the
parent does not reply, the process asks the watchers, and the platform only
if none of them replies either.
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
LONG_POLL_S = 1.0
REPLY_MARGIN_S = 0.5
HOSTS_POLL_INTERVAL_S = 1.0
WATCH_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.2
# Time limit of each write after the store was restored.
REWRITE_DEADLINE_S = 5.0


class Syncer:
    """Keeps the configuration and host list of a process up to date.

    Parameters
    ----------
    me
        Host record of this process.
    connect
        Function that returns the connection to ``ip:port``.
    on_hosts_changed
        Called after each update of the host list.
    seeds
        ``ip:port`` of peers to ask while the process has no configuration
        and the platform does not answer.
    """

    def __init__(
        self,
        *,
        me: platform.Host,
        store: _store.ConfigStore,
        client: platform.PlatformClient,
        connect,
        on_hosts_changed,
        seeds: list[str],
    ) -> None:
        """Create the syncer; ``start`` starts its tasks."""
        self.me = me
        self.store = store
        self.client = client
        self.connect = connect
        self.on_hosts_changed = on_hosts_changed
        self.seeds = seeds
        self.hosts: list[platform.Host] = []
        self.hosts_digest = ""
        self.is_watcher = False
        self.platform_revision: platform.Revision | None = None
        # Newest head that this process has read from the platform.
        self.head: _head.Head | None = None
        self.check_head = False
        client.store.on_restored.append(self._on_restored)
        self.tasks: list[eventlet.greenthread.GreenThread] = []

    def start(self) -> None:
        """Start the tasks that update the configuration and the host list."""
        self.tasks = [
            eventlet.spawn(self._sync_forever),
            eventlet.spawn(self._poll_hosts),
        ]

    def stop(self) -> None:
        """Stop the tasks."""
        for task in self.tasks:
            task.kill()

    def serve(self, inbound: peers.InboundMessage) -> None:
        """Reply to a child's long poll.

        A child that has the current configuration and host list gets its
        reply when a newer configuration arrives or its wait ends.
        """
        request = inbound.message
        delta = self.store.delta_from(request.revision)
        newer_hosts = self._newer_hosts(request)
        if delta is None and newer_hosts is None:
            self.store.wait_for_newer(request.revision, request.wait_s)
            delta = self.store.delta_from(request.revision)
            newer_hosts = self._newer_hosts(request)
        inbound.reply(peers.SyncReply(delta=delta, hosts=newer_hosts))

    def sync_order(self) -> list[platform.Host]:
        """Return the processes of this zone in tree order, watchers first."""
        zone = [h for h in self.hosts if h.zone == self.me.zone]
        return sorted(zone, key=lambda h: rendezvous.weight("sync", h.name))

    def _newer_hosts(self, request: peers.Sync) -> list[platform.Host] | None:
        if not self.hosts or request.hosts_digest == self.hosts_digest:
            return None
        return self.hosts

    def _sync_forever(self) -> None:
        while True:
            try:
                self._sync_once()
            except errors.ZinniadykeError as error:
                LOG.info(
                    "configuration sync failed, retrying",
                    extra={"error": error.message},
                )
                eventlet.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.5))
            except Exception:
                LOG.exception(
                    "configuration sync failed unexpectedly, retrying"
                )
                eventlet.sleep(RETRY_DELAY_S)

    def _sync_once(self) -> None:
        parents = self._parent_addresses()
        self.is_watcher = not parents
        for address in parents:
            if self._poll_peer(address):
                return
        try:
            self._watch_head()
        except errors.PlatformError:
            if self.store.revision == 0 and self._poll_seeds():
                return
            raise

    def _parent_addresses(self) -> list[str]:
        """Return the addresses to poll, in order; none for a watcher."""
        sync_order = self.sync_order()
        names = [h.name for h in sync_order]
        if self.me.name not in names:
            return [h.peer for h in sync_order[:WATCHERS_PER_ZONE]]
        position = names.index(self.me.name)
        if position < WATCHERS_PER_ZONE:
            return []
        parent = (position - WATCHERS_PER_ZONE) // FANOUT
        order = [parent, *range(WATCHERS_PER_ZONE)]
        return [sync_order[i].peer for i in dict.fromkeys(order)]

    def _poll_seeds(self) -> bool:
        return any(self._poll_peer(address) for address in self.seeds)

    def _poll_peer(self, address: str) -> bool:
        request = peers.Sync(
            host=self.me.name,
            revision=self.store.revision,
            hosts_digest=self.hosts_digest,
            wait_s=LONG_POLL_S,
        )
        try:
            reply, _ = self.connect(address).send_and_receive(
                request, LONG_POLL_S + REPLY_MARGIN_S
            )
        except errors.PeerTimeoutError:
            return False
        if reply.delta is not None:
            self.store.install(reply.delta)
        if reply.hosts is not None:
            self.set_hosts(reply.hosts)
        return True

    def _on_restored(self, era_before: int, era: int) -> None:
        self.check_head = True

    def _watch_head(self) -> None:
        if self.check_head:
            self._restore_head()
            self.check_head = False
        stored = self.client.watch(
            _head.HEAD_KEY,
            purpose=platform.Purpose.CONFIGURATION,
            after=self.platform_revision,
            wait_s=WATCH_TIMEOUT_S if self.is_watcher else LONG_POLL_S,
        )
        if stored is None:
            return
        head = _head.decode_head(stored.value)
        if head.revision > self.store.revision:
            self.store.install(self._build_delta(head))
        if self.head is None or head.revision >= self.head.revision:
            self.head = head
        self.platform_revision = stored.revision

    def _restore_head(self) -> None:
        """Write the accepted changes again that a restored store lacks.

        If operators have had other changes accepted there meanwhile, those
        stay; the head gets a revision above all that was in force, so that
        every process follows it.
        """
        if self.head is None:
            return
        stored = _head.read_head(self.client)
        head = _head.merge_after_restoration(self.head, stored.head)
        if head == stored.head:
            return
        lost = head.recent != self.head.recent
        for key, digest in head.objects.items():
            document = self.store.documents.get(key)
            if document and _head.document_digest(document) == digest:
                _head.write_document(self.client, document, REWRITE_DEADLINE_S)
        platform.compare_and_swap(
            self.client,
            _head.HEAD_KEY,
            msgspec.json.encode(head),
            purpose=platform.Purpose.CONFIGURATION,
            revision=stored.platform_revision,
            deadline_s=REWRITE_DEADLINE_S,
        )
        LOG.warning(
            "changes accepted before the store was restored are lost"
            if lost
            else "configuration written again after the store was restored",
            extra={
                "revision": head.revision,
                "revision_in_copy": stored.head.revision,
                "era": self.client.era,
            },
        )

    def _build_delta(self, head: _head.Head) -> peers.Delta:
        changed = {}
        for key, digest in head.objects.items():
            local_document = self.store.documents.get(key)
            if (
                local_document is None
                or _head.document_digest(local_document) != digest
            ):
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
            if not self.hosts or not self._parent_addresses():
                try:
                    self.set_hosts(self.client.hosts())
                except errors.PlatformError as error:
                    LOG.info(
                        "host list not updated", extra={"error": error.message}
                    )
            eventlet.sleep(HOSTS_POLL_INTERVAL_S * random.uniform(0.8, 1.2))

    def set_hosts(self, hosts: list[platform.Host]) -> None:
        """Replace the host list."""
        encoded = msgspec.json.encode(hosts)
        self.hosts = hosts
        self.on_hosts_changed()
        self.hosts_digest = hashlib.sha256(encoded).hexdigest()[:16]
