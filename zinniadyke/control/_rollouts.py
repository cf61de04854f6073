"""Controller of the rollouts of one service."""

import logging
import time

import eventlet

from zinniadyke.control import _lease
from zinniadyke.control import _node
from zinniadyke.control import _permits
from zinniadyke.control import _progress
from zinniadyke.control import _rollout_view
from zinniadyke.control import _target_state
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import objects
from zinniadyke import peers
from zinniadyke import platform

LOG = logging.getLogger(__name__)

TICK_S = 0.25
IDLE_TICK_S = 1.0
STATUSES_PER_S = 200
STATUS_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 660.0
PROGRESS_INTERVAL_S = 0.5


class RolloutController:
    """Paces activation for a service while its lease is held.

    Nothing that must last is kept here: permits are in the platform, and
    what targets serve is asked of their agents.

    Parameters
    ----------
    service
        The service whose targets it controls.
    """

    def __init__(self, *, node: _node.Node, service: ids.ServiceName) -> None:
        """Prepare the lease; ``run`` contends for it."""
        self.node = node
        self.service = service
        self.lease = _lease.Lease(
            client=node.client,
            key=lease_key(service),
            holder=node.me.name,
            incarnation=node.incarnation,
        )
        self.book = _permits.PermitAllocator(
            client=node.client, service=service
        )
        self.began: dict[str, float] = {}
        self.ordered: dict[str, eventlet.greenthread.GreenThread] = {}
        self.written_at = 0.0

    def run(self) -> None:
        """Contend for the lease and act while it is held; until killed."""
        renewal = eventlet.spawn(self.lease.run)
        try:
            while True:
                pause_s = IDLE_TICK_S
                if self.lease.held:
                    pause_s = self._try_tick()
                eventlet.sleep(pause_s)
        finally:
            renewal.kill()

    def _try_tick(self) -> float:
        try:
            busy = [self.tick(m) for m in self._models()]
        except errors.ZinniadykeError as error:
            LOG.warning(
                "rollout waits",
                extra={
                    "service": self.service,
                    "code": error.code.number,
                    "error": error.message,
                },
            )
            return IDLE_TICK_S
        return self._tick_s() if any(busy) else IDLE_TICK_S

    def _tick_s(self) -> float:
        """Return the pause that keeps statuses below their rate, in s."""
        hosts = self.node.hosts(platform.HostRole.TARGET, self.service)
        return max(TICK_S, len(hosts) / STATUSES_PER_S)

    def _models(self) -> list[str]:
        return self.node.configuration.models_of(self.service)

    def tick(self, model: str) -> bool:
        """Move a model's current rollout on; False when it is complete."""
        current = self.node.configuration.current_rollout(model)
        if current is None:
            return False
        hosts = self.node.hosts(platform.HostRole.TARGET, self.service)
        view = _rollout_view.RolloutView(
            key=current[0],
            rollout=current[1],
            hosts=hosts,
            statuses=self._statuses(hosts),
        )
        progress = self._measure(view)
        if view.rollout.state is objects.RolloutState.RUNNING:
            self._advance(view, progress)
        self._report(progress)
        return not progress.complete

    def _statuses(self, hosts: list[platform.Host]) -> dict[str, peers.Status]:
        pool = eventlet.GreenPool(256)
        answers = pool.imap(self._status, hosts)
        return {s.host: s for s in answers if s is not None}

    def _status(self, host: platform.Host) -> peers.Status | None:
        try:
            status, _ = self.node.connect(host).ask(
                peers.GetStatus(), STATUS_TIMEOUT_S
            )
        except errors.PeerTimeoutError:
            return None
        if not isinstance(status, peers.Status) or status.host != host.name:
            return None
        return status

    def _measure(
        self, view: _rollout_view.RolloutView
    ) -> _progress.RolloutProgress:
        began = self.began.setdefault(view.key.name, time.monotonic())
        return _progress.RolloutProgress(
            rollout=view.key.name,
            model=view.rollout.model,
            version=view.rollout.version,
            state=view.rollout.state.value,
            total=len(view.hosts),
            staged=view.staged,
            serving=view.serving,
            down=len(view.down),
            floor=view.rollout.floor,
            complete=bool(view.hosts) and view.serving >= view.wanted,
            waiting={
                s.host: s.waiting for s in view.statuses.values() if s.waiting
            },
            elapsed_s=time.monotonic() - began,
            fence=self.lease.fence,
        )

    def _advance(
        self,
        view: _rollout_view.RolloutView,
        progress: _progress.RolloutProgress,
    ) -> None:
        held = self.node.configuration.is_held(view.rollout.model)
        room = max(view.wanted - view.serving, 0)
        chosen = {
            status.host: _permits.Permit(
                incarnation=status.incarnation, version=view.version
            )
            for status in view.ready(held)[:room]
        }
        permits = self.book.reconcile(
            wanted=chosen,
            can_release=lambda host, permit: self._is_done(
                view.statuses.get(host), permit, view.version
            ),
            known={host.name for host in view.hosts},
            down=view.down,
            floor=view.floor,
            fence=self.lease.fence,
        )
        if permits.fence > self.lease.fence or not self.lease.held:
            return
        for name, permit in chosen.items():
            status = view.statuses[name]
            serving = _target_state.is_serving(status)
            if not serving or permits.out.get(name) == permit:
                self._order(view, status)
            elif not status.waiting:
                code = errors.ResultCode.WAITING_FLOOR.number
                progress.waiting[name] = code

    def _is_done(
        self,
        status: peers.Status | None,
        permit: _permits.Permit,
        name: str,
    ) -> bool:
        """Return whether no order can take the host out under its permit.

        A host that is gone keeps its permit until it is back: it is out of
        service either way.
        """
        if status is None or status.host in self.ordered:
            return False
        revision = self.node.store.revision
        return _target_state.has_used(status, permit, name, revision)

    def _order(
        self, view: _rollout_view.RolloutView, status: peers.Status
    ) -> None:
        if status.host in self.ordered:
            return
        host = next(h for h in view.hosts if h.name == status.host)
        order = peers.Activate(
            version=view.version,
            fence=self.lease.fence,
            incarnation=status.incarnation,
        )
        self.ordered[status.host] = eventlet.spawn(self._send, host, order)

    def _send(self, host: platform.Host, order: peers.Activate) -> None:
        try:
            result, _ = self.node.connect(host).ask(order, ORDER_TIMEOUT_S)
            if result.code != errors.ResultCode.OK.number:
                LOG.warning(
                    "order refused",
                    extra={
                        "target": host.name,
                        "version": order.version,
                        "code": result.code,
                        "error": result.detail,
                    },
                )
                eventlet.sleep(IDLE_TICK_S)
        except errors.PeerTimeoutError:
            LOG.warning("no answer to an order", extra={"target": host.name})
        finally:
            self.ordered.pop(host.name, None)

    def _report(self, progress: _progress.RolloutProgress) -> None:
        now = time.monotonic()
        due = now - self.written_at >= PROGRESS_INTERVAL_S
        if due or progress.complete:
            self.written_at = now
            _progress.write_progress(self.node.client, progress)


def lease_key(service: str) -> str:
    """Return the key of the lease on a service's rollouts."""
    return f"rollouts/{service}"
