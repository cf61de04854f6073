"""Refuses prompts that crash engines, and learns them with other entries."""

from collections.abc import Callable
import time

from zinniadyke.entry import _caller_request
from zinniadyke import ids
from zinniadyke import peers
from zinniadyke import requests


class CrashGuard:
    """Keeps prompt parts that crash engines away from them.

    Attributes
    ----------
    tell
        Tells all agents what this entry has found out.
    """

    def __init__(self) -> None:
        """Start without crashes."""
        self.ledger = requests.CrashLedger()
        self.findings = requests.CrashFindings(
            ledger=self.ledger, tell=self._tell
        )
        self.tell: Callable[[peers.SuspectFindings], None] = lambda findings: (
            None
        )

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

    def _tell(
        self, refused: set[ids.PromptPart], cleared: set[ids.PromptPart]
    ) -> None:
        left_s = self.ledger.refused_parts()
        self.tell(
            peers.SuspectFindings(
                refused={part: left_s[part] for part in refused},
                cleared=dict.fromkeys(cleared, 0.0),
            )
        )
