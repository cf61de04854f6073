"""Refuses prompts that crash engines, and learns them with other entries."""

from collections.abc import Callable
import time

import eventlet

from zinniadyke.entry import _caller_request
from zinniadyke import ids
from zinniadyke import peers
from zinniadyke import requests
from zinniadyke import telemetry

# What is found within this time is told together.
GATHER_S = 0.01


class PromptGuard:
    """Keeps prompt parts that crash engines away from them.

    Attributes
    ----------
    tell
        Tells all agents what this entry has found out.
    """

    def __init__(self) -> None:
        """Start without crashes."""
        self.ledger = requests.CrashLedger()
        self.ledger.on_refused = self._on_refused
        self.ledger.on_cleared = self._on_cleared
        self.tell: Callable[[peers.PromptFindings], None] = lambda findings: (
            None
        )
        self.refused: set[ids.PromptPart] = set()
        self.cleared: set[ids.PromptPart] = set()

    def record_served(self, call: _caller_request.CallerRequest) -> None:
        """Record that an engine has answered a request."""
        self.ledger.record_served(call.prompt_parts)

    def learn(self, status: peers.Status) -> None:
        """Apply what an agent tells of crashes and findings."""
        now = time.monotonic()
        for crash in status.crashes:
            self.ledger.record_crash(
                crash.crash,
                now - crash.age_s,
                {
                    request: frozenset(parts)
                    for request, parts in crash.suspects.items()
                },
            )
        for part, age_s in status.findings.cleared.items():
            self.ledger.clear(part, at=now - age_s, announce=False)
        for part, seconds in status.findings.refused.items():
            self.ledger.refuse(part, seconds)

    def _on_refused(self, part: ids.PromptPart) -> None:
        telemetry.count(telemetry.Metric.PROMPT_PARTS_REFUSED)
        self._announce(self.refused, part)

    def _on_cleared(self, part: ids.PromptPart) -> None:
        self._announce(self.cleared, part)

    def _announce(
        self, found: set[ids.PromptPart], part: ids.PromptPart
    ) -> None:
        if not (self.refused or self.cleared):
            eventlet.spawn_after(GATHER_S, self._tell)
        found.add(part)

    def _tell(self) -> None:
        refused, self.refused = self.refused, set()
        cleared, self.cleared = self.cleared, set()
        left_s = self.ledger.refused_parts()
        self.tell(
            peers.PromptFindings(
                refused={p: left_s[p] for p in refused & left_s.keys()},
                cleared=dict.fromkeys(cleared - left_s.keys(), 0.0),
            )
        )
