"""Counts requests of workspaces whose limits all entries share."""

import time

from zinniadyke import ids
from zinniadyke import peers
from zinniadyke import requests

# Workspaces whose requests are counted, the latest ones.
MAX_WORKSPACES = 4096
# A lower rate counts as this one.
MIN_RATE_PER_S = 0.001


class WorkspaceTokens:
    """Gives tokens for requests of workspaces to entries.

    Attributes
    ----------
    schedules
        Schedule of each workspace with the rate that it was told last.
    """

    def __init__(self) -> None:
        """Start without workspaces."""
        self.schedules: dict[
            ids.WorkspaceName, tuple[float, requests.TokenSchedule]
        ] = {}

    def answer(self, inbound: peers.InboundMessage) -> None:
        """Answer a TakeToken message."""
        message = inbound.message
        inbound.reply(
            peers.TokenTaken(
                wait_s=self.take(message.workspace, message.rate_per_s)
            )
        )

    def take(self, workspace: ids.WorkspaceName, rate_per_s: float) -> float:
        """Take a token; return the time until there is one, 0 if taken."""
        now = time.monotonic()
        rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        known_rate, schedule = self.schedules.pop(workspace, (None, None))
        if schedule is None:
            schedule = requests.TokenSchedule(
                rate_per_s=rate_per_s, now=now, keeps_phase=False
            )
        elif known_rate != rate_per_s:
            schedule.set_rate(rate_per_s, now)
        self.schedules[workspace] = rate_per_s, schedule
        while len(self.schedules) > MAX_WORKSPACES:
            del self.schedules[next(iter(self.schedules))]
        if schedule.take(now):
            return 0.0
        return schedule.next_in_s(now)
