"""Counts the entries that share a limit, as agents report them."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import logging
import math
import time

from zinniadyke.gateway import _interest
from zinniadyke.gateway import _target_state
from zinniadyke import ids

LOG = logging.getLogger(__name__)

# A limit is divided by at least this many entries, also while fewer are known.
MIN_ENTRIES = 5
COUNT_INTERVAL_S = 0.5
# Time for which a lower count is not believed: agents that have just started
# know few entries, and entries that ended may have used their share.
HOLD_S = 10.0


class EntryCounter:
    """Keeps the number of entries up to date.

    Parameters
    ----------
    states
        All targets that this entry uses, by name.
    regions
        Region of each availability zone.
    """

    def __init__(
        self,
        *,
        states: Mapping[ids.TargetId, _target_state.TargetState],
        regions: Mapping[str, str],
    ) -> None:
        """Start with the smallest number."""
        self.states = states
        self.regions = regions
        self.entries = MIN_ENTRIES
        self.counted_at = float("-inf")
        # Largest count that was lower, and the time of the last that was not.
        self.lower = MIN_ENTRIES
        self.confirmed_at = float("-inf")

    def count(self) -> int:
        """Return how many entries share a limit."""
        now = time.monotonic()
        if now > self.counted_at + COUNT_INTERVAL_S:
            self.counted_at = now
            counted = count_entries(self.states.values(), self.regions)
            self._record(max(MIN_ENTRIES, counted), now)
        return self.entries

    def _record(self, counted: int, now: float) -> None:
        if counted < self.entries:
            self.lower = max(self.lower, counted)
            if now < self.confirmed_at + HOLD_S:
                return
            counted = self.lower
        if counted != self.entries:
            LOG.info(
                "entries counted",
                extra={"entries": counted, "before": self.entries},
            )
        self.entries = counted
        self.lower = MIN_ENTRIES
        self.confirmed_at = now


def count_entries(
    states: Iterable[_target_state.TargetState], regions: Mapping[str, str]
) -> int:
    """Return the number of entries in all regions, as agents report.

    Entries use all targets of their region, or the same number of them, so
    a target's local entries tell how many its region has. Load: the retry
    budget is shared by all entries, though each knows a part of the targets.
    """
    most_entries = 0
    local_entries: dict[str, int] = {}
    target_counts: collections.Counter[str] = collections.Counter()
    for state in states:
        region = regions.get(state.target.zone, "")
        most_entries = max(most_entries, state.entries)
        target_counts[region, state.target.service] += 1
        local_entries[region] = max(
            local_entries.get(region, 0), state.local_entries
        )
    total = 0
    for region, count in local_entries.items():
        targets = max(
            n for (name, _), n in target_counts.items() if name == region
        )
        # In a region of more targets each sees a part of its entries.
        total += math.ceil(
            count * max(1.0, targets / _interest.MAX_OWN_TARGETS)
        )
    return max(total, most_entries)
