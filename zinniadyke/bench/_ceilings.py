"""Ceilings on the dispatch of lower classes, as ways to compare.

A ceiling lets a class through while the part of the slots in use is below
it. ``reflective`` is the policy of "From Simulation to Production Part II":
the ceiling of class i of N falls as 1 - i * saturation / (N - 1), and above
it the class gets every k-th tick, k = saturation / (1 - saturation).
"""

from collections.abc import Callable
import heapq

import eventlet

from zinniadyke.entry import TargetPool
from zinniadyke import requests

PLAIN_CEILING = 0.8
TICK_S = 0.002

Ceiling = Callable[[int, int, float, int], bool]


def none(priority: int, classes: int, saturation: float, tick: int) -> bool:
    """Let every class through."""
    return True


def plain(priority: int, classes: int, saturation: float, tick: int) -> bool:
    """Hold all but the first class at a fixed part of the slots."""
    return priority == 0 or saturation < PLAIN_CEILING


def reflective(
    priority: int, classes: int, saturation: float, tick: int
) -> bool:
    """Hold lower classes the more, the fuller the slots are."""
    if priority == 0:
        return True
    if saturation < 1 - priority * saturation / (classes - 1):
        return True
    if saturation >= 1:
        return False
    every = max(1, round(saturation / (1 - saturation)))
    return tick % every == 0


CEILINGS: dict[str, Ceiling] = {
    "none": none,
    "plain": plain,
    "reflective": reflective,
}


class CeilingQueue(requests.FairQueue):
    """A fair queue that passes over classes above their ceiling.

    Parameters
    ----------
    classes
        Number of classes; their priorities count from 0.
    """

    def __init__(
        self, *, pool: TargetPool, ceiling: Ceiling, classes: int
    ) -> None:
        """Start to tick."""
        super().__init__()
        self.pool = pool
        self.ceiling = ceiling
        self.classes = classes
        self.tick = 0
        self.task = eventlet.spawn(self._run)

    def __len__(self) -> int:
        """Return more than 0, so that every request takes its turn here."""
        return super().__len__() + 1

    def grant(self) -> bool:
        """Give a turn to the first request whose class is let through."""
        passed = []
        granted = False
        while self.heap and not granted:
            entry = heapq.heappop(self.heap)
            waiter = entry[2]
            if waiter.abandoned:
                continue
            if self._allows(waiter.flow.priority):
                heapq.heappush(self.heap, entry)
                granted = super().grant()
            else:
                passed.append(entry)
        for entry in passed:
            heapq.heappush(self.heap, entry)
        return granted

    def _allows(self, priority: int) -> bool:
        links = self.pool.links.values()
        slots = sum(link.status.slots for link in links if link.status)
        free = sum(link.free_slots for link in links)
        saturation = 1 - (free - self.pending_grants) / max(slots, 1)
        return self.ceiling(priority, self.classes, saturation, self.tick)

    def _run(self) -> None:
        while True:
            self.tick += 1
            self.pool.grant_free_slots()
            eventlet.sleep(TICK_S)
