"""Learns from crashes which prompt parts crash targets."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import logging
import time

from zinniadyke import errors
from zinniadyke import ids
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
# Parts that are kept as refused or as once refused, the latest ones.
MAX_PARTS = 256
# Time for which a part is refused; doubles each time it is found again.
FIRST_REFUSAL_S = 60.0
MAX_REFUSAL_S = 3600.0
# Parts of served requests that are remembered, the latest ones.
MAX_SERVED_PARTS = 4096


class CrashLedger:
    """Keeps the latest crashes and the parts that are refused.

    Attributes
    ----------
    crashes
        Latest crashes by what identifies them.
    served_before
        Number of requests served before each crash became known.
    suspected_at
        Time of the latest crash for which each part is suspected.
    last_served_at
        Time at which a request with a suspected part was last served.
    served
        Number of requests served.
    served_parts
        Parts of the latest requests served, the latest one last.
    refused_until
        Monotonic time until which each part is refused.
    refusals
        How often each part was found to crash targets.
    on_refused
        Called with a part that was found here to crash targets.
    on_cleared
        Called with a part that was suspected or refused and is no more.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        """Start without crashes."""
        self.clock = clock
        self.crashes: dict[ids.CrashId, _crash.Crash] = {}
        self.served_before: dict[ids.CrashId, int] = {}
        self.suspected_at: dict[ids.PromptPart, float] = {}
        self.last_served_at: dict[ids.PromptPart, float] = {}
        self.served = 0
        self.served_parts: dict[ids.PromptPart, None] = {}
        self.refused_until: dict[ids.PromptPart, float] = {}
        self.refusals: dict[ids.PromptPart, int] = {}
        self.on_refused: Callable[[ids.PromptPart], None] = lambda part: None
        self.on_cleared: Callable[[ids.PromptPart], None] = lambda part: None

    def record_crash(
        self,
        crash_id: ids.CrashId,
        at: float,
        suspects: Mapping[ids.RequestId, frozenset[ids.PromptPart]],
    ) -> None:
        """Add a crash, or further requests to a known one."""
        self._forget_old()
        known = self.crashes.get(crash_id)
        if known is not None:
            at, suspects = known.at, {**known.suspects, **suspects}
        self.crashes[crash_id] = _crash.Crash(at=at, suspects=suspects)
        for part in frozenset().union(*suspects.values()):
            latest = self.suspected_at.get(part, at)
            self.suspected_at[part] = max(latest, at)
        self.served_before.setdefault(crash_id, self.served)
        self._refuse_causes()

    def record_served(self, parts: Collection[ids.PromptPart]) -> None:
        """Record that a target went on with a request after it began."""
        self.served += 1
        for part in parts:
            self.served_parts.pop(part, None)
            self.served_parts[part] = None
        while len(self.served_parts) > MAX_SERVED_PARTS:
            del self.served_parts[next(iter(self.served_parts))]
        if not (self.crashes or self.refusals):
            return
        cleared = [self.clear(part) for part in parts]
        if any(cleared) or self._served_since_first_crash() == 1:
            self._refuse_causes()

    def clear(
        self,
        part: ids.PromptPart,
        *,
        at: float | None = None,
        announce: bool = True,
    ) -> bool:
        """Record that a request with a part was served, here or elsewhere.

        Returns whether this clears the part of a suspicion or a refusal.

        Parameters
        ----------
        at
            Monotonic time at which it was served; now if None.
        announce
            Whether to call ``on_cleared`` then.
        """
        at = self.clock() if at is None else at
        if at <= self.last_served_at.get(part, float("-inf")):
            return False
        was_refused = self.refusals.pop(part, 0) > 0
        if self.refused_until.pop(part, None) is not None:
            LOG.warning("prompt part cleared", extra={"part": part})
        never = float("-inf")
        was_suspected = self.suspected_at.get(
            part, never
        ) > self.last_served_at.get(part, never)
        if was_suspected:
            self.last_served_at[part] = at
        cleared = was_suspected or was_refused
        if cleared and announce:
            self.on_cleared(part)
        return cleared

    def refuse(self, part: ids.PromptPart, seconds: float) -> None:
        """Refuse a part for some time, as another entry found."""
        until = self.clock() + min(seconds, MAX_REFUSAL_S)
        if until > self.refused_until.get(part, float("-inf")):
            self._set_refused(part, until)

    def check(self, parts: Iterable[ids.PromptPart]) -> None:
        """Raise an error for a prompt that crashes targets.

        Raises
        ------
        RequestError
            A part of the prompt is refused.
        """
        seconds = self.refused_for_s(parts)
        if seconds > 0:
            raise errors.RequestError(
                code=errors.ResultCode.PROMPT_REFUSED, retry_after_s=seconds
            )

    def refuses(self, parts: Iterable[ids.PromptPart]) -> bool:
        """Whether a prompt with these parts is refused."""
        return self.refused_for_s(parts) > 0

    def refused_for_s(self, parts: Iterable[ids.PromptPart]) -> float:
        """Return for how long a request must be refused; 0 if not at all."""
        if not self.refused_until:
            return 0.0
        now = self.clock()
        until = max(
            (self.refused_until.get(p, now) for p in parts), default=now
        )
        return max(0.0, until - now)

    def refused_parts(self) -> dict[ids.PromptPart, float]:
        """Return the seconds for which each part is still refused."""
        now = self.clock()
        return {
            part: until - now
            for part, until in self.refused_until.items()
            if until > now
        }

    def _refuse_causes(self) -> None:
        for part in _crash_causes.find_causes(
            self.crashes.values(),
            self.last_served_at,
            self.refusals,
            self.served_parts,
            is_serving=self._served_since_first_crash() > 0,
        ):
            never = float("-inf")
            if self.suspected_at[part] <= self.refused_until.get(part, never):
                # Refused now, or not suspected since its refusal ended.
                continue
            count = self.refusals.get(part, 0)
            seconds = min(FIRST_REFUSAL_S * 2**count, MAX_REFUSAL_S)
            LOG.warning(
                "prompt part crashes targets, refused",
                extra={
                    "part": part,
                    "s": seconds,
                    "crashes": sum(
                        any(part in parts for parts in c.suspects.values())
                        for c in self.crashes.values()
                    ),
                },
            )
            self.refusals[part] = count + 1
            self._set_refused(part, self.clock() + seconds)
            self.on_refused(part)

    def _served_since_first_crash(self) -> int:
        return self.served - min(
            self.served_before.values(), default=self.served
        )

    def _set_refused(self, part: ids.PromptPart, until: float) -> None:
        self.refused_until.pop(part, None)
        self.refused_until[part] = until
        self.refusals.setdefault(part, 1)
        for kept in (self.refused_until, self.refusals):
            while len(kept) > MAX_PARTS:
                del kept[next(iter(kept))]

    def _forget_old(self) -> None:
        now = self.clock()
        old = [i for i, c in self.crashes.items() if now - c.at > MEMORY_S]
        old += list(self.crashes)[: max(0, len(self.crashes) - MAX_CRASHES)]
        for crash_id in set(old):
            del self.crashes[crash_id], self.served_before[crash_id]
        oldest = min((c.at for c in self.crashes.values()), default=now)
        for known in (self.suspected_at, self.last_served_at):
            for part in [p for p, at in known.items() if at < oldest]:
                del known[part]
