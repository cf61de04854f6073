"""Utilization ceilings for lower classes, for comparison.

A class is dispatched while the share of slots in use is below its ceiling.
``reflective`` is the policy of "From Simulation to Production Part II": the
ceiling of class i of N is 1 - i * saturation / (N - 1). Above its ceiling, a
class is dispatched at every k-th tick, k = saturation / (1 - saturation).
"""

from collections.abc import Callable
import heapq

import eventlet

from zinniadyke.entry import TargetPool
from zinniadyke import requests

FIXED_CEILING = 0.8
TICK_S = 0.002

Ceiling = Callable[[int, int, float, int], bool]


def no_ceiling(
    priority: int, classes: int, saturation: float, tick: int
) -> bool:
    """Admit every class."""
    return True


def fixed_ceiling(
    priority: int, classes: int, saturation: float, tick: int
) -> bool:
    """Admit lower classes up to a fixed share of the slots."""
    return priority == 0 or saturation < FIXED_CEILING


def soft_reflective_ceiling(
    priority: int, classes: int, saturation: float, tick: int
) -> bool:
    """Lower the ceiling of lower classes as saturation rises."""
    if priority == 0:
        return True
    if saturation < 1 - priority * saturation / (classes - 1):
        return True
    if saturation >= 1:
        return False
    interval_ticks = max(1, round(saturation / (1 - saturation)))
    return tick % interval_ticks == 0


CEILINGS: dict[str, Ceiling] = {
    "none": no_ceiling,
    "plain": fixed_ceiling,
    "reflective": soft_reflective_ceiling,
}


class CeilingQueue(requests.FairQueue):
    """Fair queue that skips classes above their ceiling.

    Parameters
    ----------
    classes
        Number of classes; their priorities start at 0.
    """

    def __init__(
        self, *, pool: TargetPool, ceiling: Ceiling, classes: int
    ) -> None:
        """Start the tick task."""
        super().__init__()
        self.pool = pool
        self.ceiling = ceiling
        self.classes = classes
        self.tick = 0
        self.task = eventlet.spawn(self._run_ticks)

    def __len__(self) -> int:
        """Return more than 0, so that every request is queued."""
        return super().__len__() + 1

    def grant(self) -> bool:
        """Grant the first queued request whose class is admitted."""
        held_back = []
        granted = False
        while self.heap and not granted:
            entry = heapq.heappop(self.heap)
            waiter = entry[2]
            if waiter.abandoned:
                continue
            if self._is_admitted(waiter.flow.priority):
                heapq.heappush(self.heap, entry)
                granted = super().grant()
            else:
                held_back.append(entry)
        for entry in held_back:
            heapq.heappush(self.heap, entry)
        return granted

    def _is_admitted(self, priority: int) -> bool:
        links = self.pool.links.values()
        slots = sum(link.status.slots for link in links if link.status)
        free = sum(link.free_slots for link in links)
        saturation = 1 - (free - self.pending_grants) / max(slots, 1)
        return self.ceiling(priority, self.classes, saturation, self.tick)

    def _run_ticks(self) -> None:
        while True:
            self.tick += 1
            self.pool.grant_free_slots()
            eventlet.sleep(TICK_S)
