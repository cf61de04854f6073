"""Gathers what an entry finds out about crashes, to tell others."""

from collections.abc import Callable

import eventlet

from zinniadyke import ids
from zinniadyke.requests import _content
from zinniadyke.requests import _crash_ledger
from zinniadyke import telemetry

# What is found within this time is told together.
GATHER_S = 0.01

Suspects = set[ids.Suspect]


class CrashFindings:
    """Tells what a ledger finds out, gathered for a moment.

    Parameters
    ----------
    tell
        Called with the suspects that are refused from now on, and with those
        that are cleared.
    """

    def __init__(
        self,
        *,
        ledger: _crash_ledger.CrashLedger,
        tell: Callable[[Suspects, Suspects], None],
    ) -> None:
        """Listen to the ledger."""
        self.ledger = ledger
        self.tell = tell
        self.refused: Suspects = set()
        self.cleared: Suspects = set()
        ledger.on_refused = self._add_refused
        ledger.on_cleared = self._add_cleared

    def _add_refused(self, suspect: ids.Suspect) -> None:
        metric = telemetry.Metric.PROMPT_PARTS_REFUSED
        if _content.is_content(suspect):
            metric = telemetry.Metric.CONTENTS_REFUSED
        telemetry.count(metric)
        self._add(self.refused, suspect)

    def _add_cleared(self, suspect: ids.Suspect) -> None:
        self._add(self.cleared, suspect)

    def _add(self, found: Suspects, suspect: ids.Suspect) -> None:
        if not (self.refused or self.cleared):
            eventlet.spawn_after(GATHER_S, self._tell)
        found.add(suspect)

    def _tell(self) -> None:
        refused, self.refused = self.refused, set()
        cleared, self.cleared = self.cleared, set()
        # What changed meanwhile is not told.
        present = self.ledger.refused().keys()
        self.tell(refused & present, cleared - present)
