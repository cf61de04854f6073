"""Learns from crashes which requests and prompt parts crash targets."""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import logging
import time

from zinniadyke import errors
from zinniadyke import ids
from zinniadyke.requests import _content
from zinniadyke.requests import _crash
from zinniadyke.requests import _crash_causes

LOG = logging.getLogger(__name__)

# A target that crashes on a request does so as it begins the answer, and may
# have sent the first part by then. One that goes on this long has served it.
WRITING_AFTER_S = 0.25
# Crashes are forgotten after this time.
MEMORY_S = 120.0
# Latest crashes that are kept.
MAX_CRASHES = 64
# Suspects that are kept as refused or as once refused, the latest ones.
MAX_REFUSED = 256
# Time for which a suspect is refused; doubles each time it is found again.
FIRST_REFUSAL_S = 60.0
MAX_REFUSAL_S = 3600.0
# Prompt parts of served requests that are remembered, and contents of such
# requests, the latest ones of each.
MAX_SERVED = 4096


class CrashLedger:
    """Keeps the latest crashes and the suspects that are refused.

    A suspect is the content of a request or a part of its prompt.

    Attributes
    ----------
    crashes
        Latest crashes by what identifies them.
    served_before
        Number of requests served before each crash became known.
    suspected_at
        Time of the latest crash for which each suspect may be the cause.
    last_served_at
        Time at which a request with a suspect was last served.
    served
        Number of requests served.
    served_parts, served_contents
        Prompt parts and contents of the latest requests served, the latest
        one last.
    refused_until
        Monotonic time until which each suspect is refused.
    refusals
        How often each suspect was found to crash targets.
    on_refused
        Called with a suspect that was found here to crash targets.
    on_cleared
        Called with what was suspected or refused and is no more.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        """Start without crashes."""
        self.clock = clock
        self.crashes: dict[ids.CrashId, _crash.Crash] = {}
        self.served_before: dict[ids.CrashId, int] = {}
        self.suspected_at: dict[ids.Suspect, float] = {}
        self.last_served_at: dict[ids.Suspect, float] = {}
        self.served = 0
        self.served_parts: dict[ids.Suspect, None] = {}
        self.served_contents: dict[ids.Suspect, None] = {}
        self.refused_until: dict[ids.Suspect, float] = {}
        self.refusals: dict[ids.Suspect, int] = {}
        self.on_refused: Callable[[ids.Suspect], None] = lambda suspect: None
        self.on_cleared: Callable[[ids.Suspect], None] = lambda suspect: None

    def record_crash(
        self,
        crash_id: ids.CrashId,
        at: float,
        suspects: Mapping[ids.RequestId, frozenset[ids.Suspect]],
    ) -> None:
        """Add a crash, or further requests to a known one."""
        self._forget_old()
        known = self.crashes.get(crash_id)
        if known is not None:
            at, suspects = known.at, {**known.suspects, **suspects}
        self.crashes[crash_id] = _crash.Crash(at=at, suspects=suspects)
        for suspect in frozenset().union(*suspects.values()):
            latest = self.suspected_at.get(suspect, at)
            self.suspected_at[suspect] = max(latest, at)
        self.served_before.setdefault(crash_id, self.served)
        self._refuse_causes()

    def record_served(self, suspects: Collection[ids.Suspect]) -> None:
        """Record that a target went on with a request after it began."""
        self.served += 1
        for suspect in suspects:
            kept = self.served_parts
            if _content.is_content(suspect):
                kept = self.served_contents
            kept.pop(suspect, None)
            kept[suspect] = None
            if len(kept) > MAX_SERVED:
                del kept[next(iter(kept))]
        if not (self.crashes or self.refusals):
            return
        cleared = [self.clear(suspect) for suspect in suspects]
        if any(cleared) or self._served_since_first_crash() == 1:
            self._refuse_causes()

    def clear(
        self,
        suspect: ids.Suspect,
        *,
        at: float | None = None,
        announce: bool = True,
    ) -> bool:
        """Record that a request with a suspect was served, here or elsewhere.

        Returns whether this clears it of a suspicion or a refusal.

        Parameters
        ----------
        at
            Monotonic time at which it was served; now if None.
        announce
            Whether to call ``on_cleared`` then.
        """
        at = self.clock() if at is None else at
        if at <= self.last_served_at.get(suspect, float("-inf")):
            return False
        was_refused = self.refusals.pop(suspect, 0) > 0
        if self.refused_until.pop(suspect, None) is not None:
            LOG.warning("suspect cleared", extra={"suspect": suspect})
        never = float("-inf")
        was_suspected = self.suspected_at.get(
            suspect, never
        ) > self.last_served_at.get(suspect, never)
        if was_suspected:
            self.last_served_at[suspect] = at
        cleared = was_suspected or was_refused
        if cleared and announce:
            self.on_cleared(suspect)
        return cleared

    def refuse(self, suspect: ids.Suspect, seconds: float) -> None:
        """Refuse a suspect for some time, as another entry found."""
        until = self.clock() + min(seconds, MAX_REFUSAL_S)
        if until > self.refused_until.get(suspect, float("-inf")):
            self._set_refused(suspect, until)

    def check(self, suspects: Iterable[ids.Suspect]) -> None:
        """Raise an error for a request that crashes targets.

        Raises
        ------
        RequestError
            The content of the request or a part of its prompt is refused.
        """
        suspects = list(suspects)
        seconds = self.refused_for_s(suspects)
        if seconds <= 0:
            return
        code = errors.ResultCode.PROMPT_REFUSED
        if self.refuses(filter(_content.is_content, suspects)):
            code = errors.ResultCode.CONTENT_REFUSED
        raise errors.RequestError(code=code, retry_after_s=seconds)

    def refuses(self, suspects: Iterable[ids.Suspect]) -> bool:
        """Whether a request with these suspects is refused."""
        return self.refused_for_s(suspects) > 0

    def refused_for_s(self, suspects: Iterable[ids.Suspect]) -> float:
        """Return for how long a request must be refused; 0 if not at all."""
        if not self.refused_until:
            return 0.0
        now = self.clock()
        until = max(
            (self.refused_until.get(s, now) for s in suspects), default=now
        )
        return max(0.0, until - now)

    def refused(self) -> dict[ids.Suspect, float]:
        """Return the seconds for which each suspect is still refused."""
        now = self.clock()
        return {
            suspect: until - now
            for suspect, until in self.refused_until.items()
            if until > now
        }

    def _refuse_causes(self) -> None:
        for suspect in _crash_causes.find_causes(
            self.crashes.values(),
            self.last_served_at,
            self.refusals,
            collections.ChainMap(self.served_parts, self.served_contents),
            is_serving=self._served_since_first_crash() > 0,
        ):
            never = float("-inf")
            if self.suspected_at[suspect] <= self.refused_until.get(
                suspect, never
            ):
                # Refused now, or not suspected since its refusal ended.
                continue
            count = self.refusals.get(suspect, 0)
            seconds = min(FIRST_REFUSAL_S * 2**count, MAX_REFUSAL_S)
            LOG.warning(
                "request crashes targets, refused"
                if _content.is_content(suspect)
                else "prompt part crashes targets, refused",
                extra={
                    "suspect": suspect,
                    "s": seconds,
                    "crashes": sum(
                        any(suspect in held for held in c.suspects.values())
                        for c in self.crashes.values()
                    ),
                },
            )
            self.refusals[suspect] = count + 1
            self._set_refused(suspect, self.clock() + seconds)
            self.on_refused(suspect)

    def _served_since_first_crash(self) -> int:
        return self.served - min(
            self.served_before.values(), default=self.served
        )

    def _set_refused(self, suspect: ids.Suspect, until: float) -> None:
        self.refused_until.pop(suspect, None)
        self.refused_until[suspect] = until
        self.refusals.setdefault(suspect, 1)
        for kept in (self.refused_until, self.refusals):
            while len(kept) > MAX_REFUSED:
                del kept[next(iter(kept))]

    def _forget_old(self) -> None:
        now = self.clock()
        old = [i for i, c in self.crashes.items() if now - c.at > MEMORY_S]
        old += list(self.crashes)[: max(0, len(self.crashes) - MAX_CRASHES)]
        for crash_id in set(old):
            del self.crashes[crash_id], self.served_before[crash_id]
        oldest = min((c.at for c in self.crashes.values()), default=now)
        for known in (self.suspected_at, self.last_served_at):
            for suspect in [s for s, at in known.items() if at < oldest]:
                del known[suspect]
