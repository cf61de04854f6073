"""Refuses requests that crash engines, learnt together with other entries."""

from collections.abc import Callable
import time

from zinniadyke.entry import _caller_request
from zinniadyke import ids
from zinniadyke import peers
from zinniadyke import requests


class CrashGuard:
    """Keeps requests and prompts that crash engines away from them.

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
        self.ledger.record_served(call.suspects)

    def learn(self, status: peers.Status) -> None:
        """Apply what an agent tells of crashes and findings."""
        now = time.monotonic()
        for crash in status.crashes:
            self.ledger.record_crash(
                crash.crash,
                now - crash.age_s,
                {
                    request: frozenset(suspects)
                    for request, suspects in crash.suspects.items()
                },
            )
        for suspect, age_s in status.findings.cleared.items():
            self.ledger.clear(suspect, at=now - age_s, announce=False)
        for suspect, seconds in status.findings.refused.items():
            self.ledger.refuse(suspect, seconds)

    def _tell(
        self, refused: set[ids.Suspect], cleared: set[ids.Suspect]
    ) -> None:
        left_s = self.ledger.refused()
        self.tell(
            peers.SuspectFindings(
                refused={suspect: left_s[suspect] for suspect in refused},
                cleared=dict.fromkeys(cleared, 0.0),
            )
        )
