"""Remembers crashes of the engine for the entries that ask."""

from collections.abc import Callable
import logging
import time

import eventlet

from zinniadyke import ids
from zinniadyke import peers

LOG = logging.getLogger(__name__)

# A crash cuts off all requests within a few milliseconds.
GATHER_S = 0.05
# Entries have heard of what is older than this.
MEMORY_S = 5.0
# A suspect that two entries clear at once is one piece of news.
SAME_NEWS_S = 0.1
# Suspects that are passed on, the latest ones.
MAX_SUSPECTS = 256


class CrashLog:
    """Keeps crashes of the engine, and what entries found out about them.

    Parameters
    ----------
    incarnation
        Incarnation of the agent.
    runs_on
        Returns whether the engine still serves a version.
    on_news
        Called when there is something new to tell.

    Attributes
    ----------
    news
        Number that changes with each thing that is new.
    cut_off
        Suspects of the requests that were just cut off before the engine
        began to answer, by version and request.
    """

    def __init__(
        self,
        *,
        incarnation: ids.Incarnation,
        runs_on: Callable[[str], bool],
        on_news: Callable[[], None],
    ) -> None:
        """Start without crashes."""
        self.incarnation = incarnation
        self.runs_on = runs_on
        self.on_news = on_news
        self.news = 0
        self.crashes: dict[
            ids.CrashId,
            tuple[float, dict[ids.RequestId, list[ids.Suspect]]],
        ] = {}
        self.cut_off: dict[str, dict[ids.RequestId, list[ids.Suspect]]] = {}
        self.refused_until: dict[ids.Suspect, float] = {}
        self.cleared_at: dict[ids.Suspect, float] = {}

    def record_cut_off(self, message: peers.Run) -> None:
        """Record that the engine cut off a request before it answered."""
        if not self.cut_off:
            eventlet.spawn_after(
                GATHER_S, self._check_engine, time.monotonic()
            )
        self.cut_off.setdefault(message.version, {})[message.request_id] = (
            message.suspects
        )

    def _check_engine(self, at: float) -> None:
        cut_off, self.cut_off = self.cut_off, {}
        for version, suspects in cut_off.items():
            if self.runs_on(version):
                continue
            self.news += 1
            self.crashes[ids.CrashId(f"{self.incarnation} {self.news}")] = (
                at,
                suspects,
            )
            LOG.warning("engine crashed", extra={"requests": sorted(suspects)})
            self.on_news()

    def record_findings(self, findings: peers.SuspectFindings) -> None:
        """Pass on what an entry has found out, if it is new."""
        now = time.monotonic()
        is_new = False
        for suspect, seconds in findings.refused.items():
            is_new |= now >= self.refused_until.get(suspect, now)
            self.refused_until[suspect] = now + seconds
        for suspect, age_s in findings.cleared.items():
            at = now - age_s
            if at > self.cleared_at.get(suspect, float("-inf")) + SAME_NEWS_S:
                is_new = True
            self.cleared_at[suspect] = at
            self.refused_until.pop(suspect, None)
        for kept in (self.refused_until, self.cleared_at):
            while len(kept) > MAX_SUSPECTS:
                del kept[next(iter(kept))]
        if is_new:
            self.news += 1
            self.on_news()

    def recent_crashes(self) -> list[peers.EngineCrash]:
        """Return the crashes that an entry may not have heard of."""
        now = time.monotonic()
        self.crashes = {
            crash: known
            for crash, known in self.crashes.items()
            if now - known[0] < MEMORY_S
        }
        return [
            peers.EngineCrash(crash=crash, age_s=now - at, suspects=suspects)
            for crash, (at, suspects) in self.crashes.items()
        ]

    def findings(self) -> peers.SuspectFindings:
        """Return what entries have found out."""
        now = time.monotonic()
        return peers.SuspectFindings(
            refused={
                suspect: until - now
                for suspect, until in self.refused_until.items()
                if until > now
            },
            cleared={
                suspect: now - at
                for suspect, at in self.cleared_at.items()
                if now - at < MEMORY_S
            },
        )
