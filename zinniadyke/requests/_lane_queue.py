"""Fair queue with lanes for requests of different rank and scope."""

from collections.abc import Callable
from collections.abc import Hashable
import heapq

from eventlet import event
import msgspec

from zinniadyke import ids
from zinniadyke.requests import _fair_queue


class Lane(msgspec.Struct, frozen=True, kw_only=True):
    """Waiting requests that are alike in all but their workspace.

    Attributes
    ----------
    level
        Requests of the same level are ordered strictly by rank; between
        levels, the weights of their workspaces decide.
    priority
        Determines the weight.
    rank
        Order in the level; the lowest is granted first.
    scope
        What decides which resources they may use.
    late
        Whether they can no longer be answered within their objective; they
        go behind all that can.
    """

    level: int | None
    priority: int
    rank: int
    scope: Hashable
    late: bool = False


class RankedFlow(_fair_queue.Flow, frozen=True, kw_only=True):
    """The requests of one workspace with one priority and rank."""

    rank: int


class LaneWaiter(_fair_queue.Waiter, kw_only=True):
    """A request that waits in a lane."""

    lane: Lane


class LaneQueue(_fair_queue.FairQueue):
    """Fair queue that grants in the order of ranks within each level.

    Late requests are granted only while no other can be.

    A decision costs as much as there are lanes, however many requests wait.
    With one rank and one scope, the order is that of ``FairQueue``.

    Attributes
    ----------
    pending_by_scope
        Grants whose requests have not resumed yet.
    rank_of
        Returns the rank that a rank counts as at present.
    """

    def __init__(self) -> None:
        """Start with an empty queue."""
        super().__init__()
        self.lanes: dict[Lane, list[_fair_queue.Entry]] = {}
        self.waiting_by_lane: dict[Lane, int] = {}
        self.pending_by_scope: dict[Hashable, int] = {}
        self.rank_of: Callable[[int], int] = lambda rank: rank

    def wait_in(
        self,
        lane: Lane,
        workspace: ids.WorkspaceName,
        max_waiting: int,
        timeout_s: float,
    ) -> None:
        """Wait in a lane until the request is granted, as :meth:`wait`."""
        flow = RankedFlow(
            workspace=workspace,
            priority=max(lane.priority, 0),
            rank=lane.rank,
        )
        waiter = LaneWaiter(flow=flow, grant_event=event.Event(), lane=lane)
        self._wait(waiter, 1, max_waiting, timeout_s)

    def count_by_scope(self) -> dict[Hashable, int]:
        """Return the number of waiting requests of each scope."""
        found: dict[Hashable, int] = {}
        for lane, count in self.waiting_by_lane.items():
            found[lane.scope] = found.get(lane.scope, 0) + count
        return found

    def count_ahead_in(
        self, lane: Lane, overlap: Callable[[Hashable], float] = lambda s: 1.0
    ) -> float:
        """Return the number of waiting requests at least as urgent.

        Parameters
        ----------
        overlap
            Returns the part of a scope's requests that compete with this
            lane's.
        """
        own = self._urgency(lane)
        return sum(
            count * overlap(other.scope)
            for other, count in self.waiting_by_lane.items()
            if self._urgency(other) <= own
        )

    def goes_first(
        self, lane: Lane, overlap: Callable[[Hashable], float] = lambda s: 1.0
    ) -> bool:
        """Whether an arrival is more urgent than all that it competes with."""
        own, rank = self._urgency(lane), self.rank_of(lane.rank)
        return all(
            (other.late and not lane.late)
            or (self._urgency(other) > own and self.rank_of(other.rank) > rank)
            or not overlap(other.scope)
            for other in self.waiting_by_lane
        )

    def grant_eligible(self, is_eligible: Callable[[Lane], bool]) -> bool:
        """Grant the first waiting request of those in eligible lanes."""
        heads = [
            (self._head(lane), lane)
            for lane in list(self.lanes)
            if is_eligible(lane)
        ]
        heads = [(head, lane) for head, lane in heads if head is not None]
        if not heads:
            if not self.waiting_by_lane:
                self.finish_tags.clear()
            return False
        if not all(lane.late for _, lane in heads):
            heads = [found for found in heads if not found[1].late]
        _, first = min(heads, key=lambda found: found[0][:2])
        _, lane = min(
            (found for found in heads if found[1].level == first.level),
            key=lambda found: (self.rank_of(found[1].rank), found[0][:2]),
        )
        start_tag, _, waiter = heapq.heappop(self.lanes[lane])
        self._grant(start_tag, waiter)
        return True

    def grant(self) -> bool:
        """Grant the next waiting request; return False if none waits."""
        return self.grant_eligible(lambda lane: True)

    def _grant(self, start_tag: float, waiter: LaneWaiter) -> None:
        scope = waiter.lane.scope
        self.pending_by_scope[scope] = self.pending_by_scope.get(scope, 0) + 1
        super()._grant(start_tag, waiter)

    def _end_wait(self, waiter: LaneWaiter) -> None:
        super()._end_wait(waiter)
        if waiter.granted:
            scope = waiter.lane.scope
            self.pending_by_scope[scope] -= 1
            if not self.pending_by_scope[scope]:
                del self.pending_by_scope[scope]

    def _urgency(self, lane: Lane) -> tuple[bool, int, int]:
        return lane.late, max(lane.priority, 0), self.rank_of(lane.rank)

    def _head(self, lane: Lane) -> _fair_queue.Entry | None:
        heap = self.lanes[lane]
        while heap and heap[0][2].abandoned:
            heapq.heappop(heap)
        if not heap:
            del self.lanes[lane]
            return None
        return heap[0]

    def _entries(self) -> list[_fair_queue.Entry]:
        return [entry for heap in self.lanes.values() for entry in heap]

    def _push(self, entry: _fair_queue.Entry) -> None:
        lane = entry[2].lane
        heapq.heappush(self.lanes.setdefault(lane, []), entry)
        self.waiting_by_lane[lane] = self.waiting_by_lane.get(lane, 0) + 1

    def _remove_waiting(self, waiter: LaneWaiter) -> None:
        super()._remove_waiting(waiter)
        self.waiting_by_lane[waiter.lane] -= 1
        if not self.waiting_by_lane[waiter.lane]:
            del self.waiting_by_lane[waiter.lane]
