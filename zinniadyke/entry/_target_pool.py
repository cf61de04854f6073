"""The pool of one service's targets at one entry."""

import random
import time

import eventlet

from zinniadyke import control
from zinniadyke.entry import _caller_request
from zinniadyke.entry import _crash_guard
from zinniadyke.entry import _target_link
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import peers
from zinniadyke import platform
from zinniadyke import rendezvous
from zinniadyke import requests

SUBSET_TARGETS = 20


class TargetPool:
    """Chooses targets and queues requests while no target is free.

    Parameters
    ----------
    service
        The service that the targets belong to.
    crash_guard
        Keeps requests that crash engines away from all targets.
    """

    def __init__(
        self,
        *,
        node: control.Node,
        service: ids.ServiceName,
        crash_guard: _crash_guard.CrashGuard,
    ) -> None:
        """Start without targets; ``refresh`` adds them."""
        self.crash_guard = crash_guard
        self.node = node
        self.service = service
        self.links: dict[ids.HostName, _target_link.TargetLink] = {}
        self.draining_links: list[_target_link.TargetLink] = []
        self.queue = requests.FairQueue()
        # Operators set no bound on the retries of all entries here, so a new
        # process need not start without any.
        self.retry_budget = requests.RetryBudget(unused_since=float("-inf"))
        self.random = random.Random()

    def refresh(self) -> None:
        """Open and close links to match the current host list."""
        hosts = {host.name: host for host in self._host_subset()}
        for name, link in list(self.links.items()):
            host = hosts.get(name)
            if host is None or not link.connects_to(host):
                del self.links[name]
                link.start_draining(replaced=host is not None)
                self.draining_links.append(link)
        for name, host in hosts.items():
            if name in self.links:
                self.links[name].host = host
            else:
                self.links[name] = self._open_link(host)
        self._close_drained_links()
        self.grant_free_slots()

    def _close_drained_links(self) -> None:
        for link in [x for x in self.draining_links if x.idle]:
            self.draining_links.remove(link)
            link.close()
            self.node.disconnect(link.connection)

    def acquire(
        self, call: _caller_request.CallerRequest, excluded: set[ids.HostName]
    ) -> tuple[_target_link.TargetLink, str]:
        """Wait for a free target and reserve a slot there.

        Parameters
        ----------
        excluded
            Hosts to avoid, unless the request has to queue and no other
            target is free when it is granted.

        Returns
        -------
        tuple
            The link to the target and the version that it serves.

        Raises
        ------
        RequestError
            NO_TARGET: there is no target, or all are known to be lost.
            QUEUE_FULL: too many requests wait already. QUEUE_TIMEOUT: no
            target was free in time.
        """
        if not len(self.queue) and self._spare_slots() > 0:
            chosen = self._choose_target(call, excluded)
            if chosen is not None:
                return self._reserve_slot(*chosen)
        while True:
            self._check_any_possibly_alive(call)
            self.queue.wait(
                call.workspace,
                call.share,
                call.priority,
                call.max_queued,
                call.time_left_s(),
            )
            chosen = self._choose_target(
                call, excluded
            ) or self._choose_target(call, set())
            if chosen is not None:
                return self._reserve_slot(*chosen)

    def release(self, link: _target_link.TargetLink) -> None:
        """Release a reserved slot."""
        link.in_flight -= 1
        self.grant_free_slots()

    def grant_free_slots(self) -> None:
        """Grant waiting requests while slots are free."""
        spare = self._spare_slots()
        while spare > 0 and self.queue.grant():
            spare -= 1

    def close(self) -> None:
        """Close all links."""
        for link in [*self.links.values(), *self.draining_links]:
            link.close()

    def _spare_slots(self) -> int:
        """Return the number of free slots without a pending grant."""
        free = sum(max(x.free_slots, 0) for x in self.links.values())
        return free - self.queue.pending_grants

    def _host_subset(self) -> list[platform.Host]:
        hosts = self.node.hosts(platform.HostRole.TARGET, self.service)
        if len(hosts) <= SUBSET_TARGETS:
            return hosts
        me = self.node.me.name
        ordered = sorted(hosts, key=lambda h: rendezvous.weight(me, h.name))
        return ordered[:SUBSET_TARGETS]

    def _open_link(self, host: platform.Host) -> _target_link.TargetLink:
        return _target_link.TargetLink(
            host=host,
            connection=self.node.connect(host),
            on_change=self.grant_free_slots,
            on_status=self.crash_guard.learn,
        )

    def tell(self, findings: peers.SuspectFindings) -> None:
        """Tell all agents what this entry has found out about crashes."""
        for link in self.links.values():
            eventlet.spawn_n(link.tell, findings)

    def _reserve_slot(
        self, link: _target_link.TargetLink, version: str
    ) -> tuple[_target_link.TargetLink, str]:
        link.in_flight += 1
        return link, version

    def _choose_target(
        self, call: _caller_request.CallerRequest, excluded: set[ids.HostName]
    ) -> tuple[_target_link.TargetLink, str] | None:
        free = [
            link
            for link in self.links.values()
            if link.host.name not in excluded
            and link.free_slots > 0
            and self._serves_request(call, link.status)
        ]
        free = self._choose_version(call, self._not_ejected(free))
        if not free:
            return None
        pair = self.random.sample(free, min(2, len(free)))
        best = min(pair, key=lambda link: link.load)
        return best, best.status.version

    def _serves_request(
        self, call: _caller_request.CallerRequest, status: peers.Status
    ) -> bool:
        if not call.model:
            return True
        model, _, version = status.version.partition("/")
        if model != call.model:
            return False
        return not call.versions or call.versions.get(version, 0) > 0

    def _not_ejected(
        self, links: list[_target_link.TargetLink]
    ) -> list[_target_link.TargetLink]:
        now = time.monotonic()
        healthy = [link for link in links if link.ejected_until_s <= now]
        # Ejection never removes more than half of the free targets.
        return healthy if 2 * len(healthy) >= len(links) else links

    def _choose_version(
        self,
        call: _caller_request.CallerRequest,
        links: list[_target_link.TargetLink],
    ) -> list[_target_link.TargetLink]:
        if not call.versions or not links:
            return links
        by_version: dict[str, list] = {}
        for link in links:
            version = link.status.version.partition("/")[2]
            by_version.setdefault(version, []).append(link)
        names = sorted(by_version)
        percentages = [call.versions[name] for name in names]
        return by_version[self.random.choices(names, percentages)[0]]

    def _check_any_possibly_alive(
        self, call: _caller_request.CallerRequest
    ) -> None:
        if any(link.possibly_alive for link in self.links.values()):
            return
        raise errors.RequestError(
            code=errors.ResultCode.NO_TARGET,
            retry_after_s=_target_link.HEARTBEAT_HOLD_S,
        )
