"""Gathers what an entry finds out about prompt parts, to tell others."""

from collections.abc import Callable

import eventlet

from zinniadyke import ids
from zinniadyke.requests import _crash_ledger
from zinniadyke import telemetry

# What is found within this time is told together.
GATHER_S = 0.01

Parts = set[ids.PromptPart]


class CrashFindings:
    """Tells what a ledger finds out, gathered for a moment.

    Parameters
    ----------
    tell
        Called with the parts that are refused from now on, and with those
        that are cleared.
    """

    def __init__(
        self,
        *,
        ledger: _crash_ledger.CrashLedger,
        tell: Callable[[Parts, Parts], None],
    ) -> None:
        """Listen to the ledger."""
        self.ledger = ledger
        self.tell = tell
        self.refused: Parts = set()
        self.cleared: Parts = set()
        ledger.on_refused = self._add_refused
        ledger.on_cleared = self._add_cleared

    def _add_refused(self, part: ids.PromptPart) -> None:
        telemetry.count(telemetry.Metric.PROMPT_PARTS_REFUSED)
        self._add(self.refused, part)

    def _add_cleared(self, part: ids.PromptPart) -> None:
        self._add(self.cleared, part)

    def _add(self, found: Parts, part: ids.PromptPart) -> None:
        if not (self.refused or self.cleared):
            eventlet.spawn_after(GATHER_S, self._tell)
        found.add(part)

    def _tell(self) -> None:
        refused, self.refused = self.refused, set()
        cleared, self.cleared = self.cleared, set()
        # What changed meanwhile is not told.
        present = self.ledger.refused_parts().keys()
        self.tell(refused & present, cleared - present)
