"""Controls the rollouts of one service."""

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
MAX_STATUSES_PER_S = 200
STATUS_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 660.0
PROGRESS_INTERVAL_S = 0.5


class RolloutController:
    """Orders targets to activate versions while it holds the lease.

    The controller keeps no durable state: permits are stored in the
    platform, and the agents report which version their targets serve.

    Parameters
    ----------
    service
        The service whose targets the controller manages.
    """

    def __init__(self, *, node: _node.Node, service: ids.ServiceName) -> None:
        """Create the lease; ``run`` acquires it."""
        self.node = node
        self.service = service
        self.lease = _lease.Lease(
            client=node.client,
            key=lease_key(service),
            holder=node.me.name,
            incarnation=node.incarnation,
        )
        self.permit_allocator = _permits.PermitAllocator(
            client=node.client, service=service
        )
        self.first_seen_at: dict[str, float] = {}
        self.orders_in_flight: dict[str, eventlet.greenthread.GreenThread] = {}
        self.progress_written_at = 0.0

    def run(self) -> None:
        """Acquire the lease and tick while it is held, until killed."""
        renewal = eventlet.spawn(self.lease.run)
        try:
            while True:
                pause_s = IDLE_TICK_S
                if self.lease.held:
                    pause_s = self._tick_all()
                eventlet.sleep(pause_s)
        finally:
            renewal.kill()

    def _tick_all(self) -> float:
        try:
            incomplete = [self.tick(m) for m in self._model_names()]
        except errors.ZinniadykeError as error:
            LOG.warning(
                "rollout step failed",
                extra={
                    "service": self.service,
                    "code": error.code.number,
                    "error": error.message,
                },
            )
            return IDLE_TICK_S
        return self._tick_interval_s() if any(incomplete) else IDLE_TICK_S

    def _tick_interval_s(self) -> float:
        """Return the interval that keeps to ``MAX_STATUSES_PER_S``, in s."""
        hosts = self.node.hosts(platform.HostRole.TARGET, self.service)
        return max(TICK_S, len(hosts) / MAX_STATUSES_PER_S)

    def _model_names(self) -> list[str]:
        return self.node.configuration.models_of(self.service)

    def tick(self, model: str) -> bool:
        """Run one control step for a model's current rollout.

        Returns
        -------
        bool
            False when the rollout is complete or the model has none.
        """
        current = self.node.configuration.current_rollout(model)
        if current is None:
            return False
        hosts = self.node.hosts(platform.HostRole.TARGET, self.service)
        view = _rollout_view.RolloutView(
            key=current[0],
            rollout=current[1],
            hosts=hosts,
            statuses=self._fetch_statuses(hosts),
        )
        progress = self._build_progress(view)
        if view.rollout.state is objects.RolloutState.RUNNING:
            self._activate_candidates(view, progress)
        self._write_progress_if_due(progress)
        return not progress.complete

    def _fetch_statuses(
        self, hosts: list[platform.Host]
    ) -> dict[str, peers.Status]:
        pool = eventlet.GreenPool(256)
        answers = pool.imap(self._fetch_status, hosts)
        return {s.host: s for s in answers if s is not None}

    def _fetch_status(self, host: platform.Host) -> peers.Status | None:
        try:
            status, _ = self.node.connect(host).send_and_receive(
                peers.GetStatus(), STATUS_TIMEOUT_S
            )
        except errors.PeerTimeoutError:
            return None
        if not isinstance(status, peers.Status) or status.host != host.name:
            return None
        return status

    def _build_progress(
        self, view: _rollout_view.RolloutView
    ) -> _progress.RolloutProgress:
        first_seen_at = self.first_seen_at.setdefault(
            view.key.name, time.monotonic()
        )
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
            elapsed_s=time.monotonic() - first_seen_at,
            fence=self.lease.fence,
        )

    def _activate_candidates(
        self,
        view: _rollout_view.RolloutView,
        progress: _progress.RolloutProgress,
    ) -> None:
        held = self.node.configuration.is_newest_rollout_cancelled(
            view.rollout.model
        )
        remaining_count = max(view.wanted - view.serving, 0)
        requested_permits = {
            status.host: _permits.Permit(
                incarnation=status.incarnation, version=view.version
            )
            for status in view.activation_candidates(held)[:remaining_count]
        }
        permits = self.permit_allocator.reconcile(
            wanted=requested_permits,
            can_release=lambda host, permit: self._can_release_permit(
                view.statuses.get(host), permit, view.version
            ),
            known={host.name for host in view.hosts},
            down=view.down,
            floor=view.floor,
            fence=self.lease.fence,
        )
        if permits.fence > self.lease.fence or not self.lease.held:
            return
        for name, permit in requested_permits.items():
            status = view.statuses[name]
            serving = _target_state.is_serving(status)
            if not serving or permits.out.get(name) == permit:
                self._start_order(view, status)
            elif not status.waiting:
                code = errors.ResultCode.WAITING_FLOOR.number
                progress.waiting[name] = code

    def _can_release_permit(
        self,
        status: peers.Status | None,
        permit: _permits.Permit,
        name: str,
    ) -> bool:
        """Return whether no order can use the host's permit any more.

        A host that does not answer keeps its permit until it answers again,
        as it is out of service in either case.
        """
        if status is None or status.host in self.orders_in_flight:
            return False
        revision = self.node.store.revision
        return _target_state.is_permit_spent(status, permit, name, revision)

    def _start_order(
        self, view: _rollout_view.RolloutView, status: peers.Status
    ) -> None:
        if status.host in self.orders_in_flight:
            return
        host = next(h for h in view.hosts if h.name == status.host)
        order = peers.Activate(
            version=view.version,
            fence=self.lease.fence,
            incarnation=status.incarnation,
        )
        self.orders_in_flight[status.host] = eventlet.spawn(
            self._send_order, host, order
        )

    def _send_order(self, host: platform.Host, order: peers.Activate) -> None:
        try:
            result, _ = self.node.connect(host).send_and_receive(
                order, ORDER_TIMEOUT_S
            )
            if result.code != errors.ResultCode.OK.number:
                LOG.warning(
                    "activation failed",
                    extra={
                        "target": host.name,
                        "version": order.version,
                        "code": result.code,
                        "error": result.detail,
                    },
                )
                eventlet.sleep(IDLE_TICK_S)
        except errors.PeerTimeoutError:
            LOG.warning("activation timed out", extra={"target": host.name})
        finally:
            self.orders_in_flight.pop(host.name, None)

    def _write_progress_if_due(
        self, progress: _progress.RolloutProgress
    ) -> None:
        now = time.monotonic()
        due = now - self.progress_written_at >= PROGRESS_INTERVAL_S
        if due or progress.complete:
            self.progress_written_at = now
            _progress.write_progress(self.node.client, progress)


def lease_key(service: str) -> str:
    """Return the key of the lease for a service's rollouts."""
    return f"rollouts/{service}"
