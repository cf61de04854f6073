"""Weighted fair queue for requests to the targets of a service."""

import heapq
import itertools
import time

import eventlet
from eventlet import event
import msgspec

from zinniadyke import errors
from zinniadyke import ids

PRIORITY_FACTOR = 4.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0
GRANT_INTERVAL_DECAY = 0.9


class Flow(msgspec.Struct, frozen=True, kw_only=True):
    """The requests of one workspace with one priority."""

    workspace: ids.WorkspaceName
    priority: int


class Waiter(msgspec.Struct, kw_only=True):
    """A request that waits in the queue.

    Attributes
    ----------
    grant_event
        Wakes the waiting request when it is granted.
    granted
        Whether the request has been granted.
    abandoned
        Whether the request left the queue without a grant.
    """

    flow: Flow
    grant_event: event.Event
    granted: bool = False
    abandoned: bool = False


# Start tag, arrival number and waiter.
Entry = tuple[float, int, Waiter]


class FairQueue:
    """Orders waiting requests by start-time fair queueing.

    The weight of a request is its workspace's share, divided by
    ``PRIORITY_FACTOR`` for each priority level below the first. No priority
    level and no workspace starves.

    Attributes
    ----------
    pending_grants
        Grants whose requests have not resumed yet.
    """

    def __init__(self) -> None:
        """Start with an empty queue."""
        self.heap: list[Entry] = []
        self.arrival_numbers = itertools.count()
        self.virtual_time = 0.0
        self.finish_tags: dict[Flow, float] = {}
        self.waiting_by_flow: dict[Flow, int] = {}
        self.pending_grants = 0
        self.grant_interval_s = 0.01
        self.last_grant_at_s = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(self.waiting_by_flow.values())

    def count_ahead(self, priority: int) -> int:
        """Return the number of waiting requests at least this urgent."""
        return sum(
            count
            for flow, count in self.waiting_by_flow.items()
            if flow.priority <= max(priority, 0)
        )

    def wait(
        self,
        workspace: ids.WorkspaceName,
        share: int,
        priority: int,
        max_waiting: int,
        timeout_s: float,
    ) -> None:
        """Wait until the request is granted.

        Parameters
        ----------
        share
            The workspace's share, from its declaration.
        priority
            Priority of the request; 0 is the most urgent.
        max_waiting
            Largest number of waiting requests of the workspace and
            priority.
        timeout_s
            Longest wait, in seconds.

        Raises
        ------
        RequestError
            QUEUE_FULL: the flow already has ``max_waiting`` waiting
            requests. QUEUE_TIMEOUT: no grant came within ``timeout_s``.
        """
        flow = Flow(workspace=workspace, priority=max(priority, 0))
        self._wait(
            Waiter(flow=flow, grant_event=event.Event()),
            share,
            max_waiting,
            timeout_s,
        )

    def _wait(
        self, waiter: Waiter, share: int, max_waiting: int, timeout_s: float
    ) -> None:
        """Wait until a request is granted, as :meth:`wait`."""
        flow = waiter.flow
        if self.waiting_by_flow.get(flow, 0) >= max_waiting:
            raise errors.RequestError(
                code=errors.ResultCode.QUEUE_FULL,
                retry_after_s=self.retry_after_s(),
            )
        start_tag = self._start_tag(flow, share)
        self._push((start_tag, next(self.arrival_numbers), waiter))
        self.waiting_by_flow[flow] = self.waiting_by_flow.get(flow, 0) + 1
        try:
            with eventlet.Timeout(max(timeout_s, 0), False):
                waiter.grant_event.wait()
                return
            raise errors.RequestError(
                code=errors.ResultCode.QUEUE_TIMEOUT,
                retry_after_s=self.retry_after_s(),
            )
        finally:
            self._end_wait(waiter)

    def grant(self) -> bool:
        """Grant the next waiting request; return False if none waits."""
        while self.heap:
            start_tag, _, waiter = heapq.heappop(self.heap)
            if waiter.abandoned:
                continue
            self._grant(start_tag, waiter)
            return True
        self.finish_tags.clear()
        return False

    def refuse_all(self, code: errors.ResultCode) -> None:
        """End the wait of all requests with an error.

        Load: a process that ends while more requests wait than it can still
        serve.
        """
        for _, _, waiter in self._entries():
            if not (waiter.granted or waiter.abandoned):
                waiter.abandoned = True
                waiter.grant_event.send_exception(
                    errors.RequestError(
                        code=code, retry_after_s=MIN_RETRY_AFTER_S
                    )
                )

    def _entries(self) -> list[Entry]:
        return list(self.heap)

    def _push(self, entry: Entry) -> None:
        heapq.heappush(self.heap, entry)

    def _grant(self, start_tag: float, waiter: Waiter) -> None:
        waiter.granted = True
        self.pending_grants += 1
        self._remove_waiting(waiter)
        self.virtual_time = max(self.virtual_time, start_tag)
        self._update_grant_interval()
        waiter.grant_event.send()

    def retry_after_s(self) -> float:
        """Return the estimated time until the queue drains, in seconds."""
        wait_s = (len(self) + 1) * self.grant_interval_s
        return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def _start_tag(self, flow: Flow, share: int) -> float:
        weight = max(share, 1) * PRIORITY_FACTOR**-flow.priority
        start_tag = max(self.virtual_time, self.finish_tags.get(flow, 0.0))
        self.finish_tags[flow] = start_tag + 1.0 / weight
        return start_tag

    def _end_wait(self, waiter: Waiter) -> None:
        """Account for a waiter that resumed after its grant, or left."""
        if waiter.granted:
            self.pending_grants -= 1
            return
        waiter.abandoned = True
        self._remove_waiting(waiter)

    def _remove_waiting(self, waiter: Waiter) -> None:
        flow = waiter.flow
        self.waiting_by_flow[flow] -= 1
        if not self.waiting_by_flow[flow]:
            del self.waiting_by_flow[flow]

    def _update_grant_interval(self) -> None:
        now = time.monotonic()
        interval_s = min(now - self.last_grant_at_s, 1.0)
        self.last_grant_at_s = now
        decayed_s = GRANT_INTERVAL_DECAY * self.grant_interval_s
        self.grant_interval_s = (
            decayed_s + (1 - GRANT_INTERVAL_DECAY) * interval_s
        )
