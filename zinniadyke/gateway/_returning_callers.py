"""Recognizes callers that come back after a refusal, at any entry."""

from collections.abc import Callable
import time

import eventlet

from zinniadyke.gateway import _call
from zinniadyke import ids
from zinniadyke import reports
from zinniadyke import telemetry

# A caller sends what is left of its deadline when it returns. Both times
# cross the network and wait in queues, so they differ by some milliseconds.
DEADLINE_TOLERANCE_S = 0.15
# Callers return after at least the shortest Retry-After, which is longer.
GATHER_S = 0.05
# Refused callers in one datagram.
MAX_CALLERS = 24
# Refused callers that are remembered, the latest ones.
MAX_REMEMBERED = 2048
MS_PER_S = 1000.0


class ReturningCallers:
    """Remembers refused requests until their deadlines.

    Load: more requests than slots. A refused caller returns with another
    request id, mostly at another entry, and can no longer be answered
    within the objective. It must not take the slot of one that still can.

    A caller is recognized by what it asks for and by its deadline, which
    stays the same moment however often it returns.

    Parameters
    ----------
    relays
        Returns the agents that pass messages on to the entries of this
        region.

    Attributes
    ----------
    send
        Sends a message to the agent on a host.
    refused
        Deadline and time of the first request of each refused caller, by
        content; monotonic times in seconds.
    count
        Number of refused callers that are remembered.
    """

    def __init__(self, *, relays: Callable[[], list[str]]) -> None:
        """Start without refused callers."""
        self.relays = relays
        self.send: Callable[[reports.Message, str], None] = (
            lambda message, host_ip: None
        )
        self.refused: dict[ids.RequestContent, list[tuple[float, float]]] = {}
        self.count = 0
        self.unsent: list[tuple[ids.RequestContent, float, float]] = []

    def record_refusal(self, call: _call.Call) -> None:
        """Remember a refused call, and tell the entries of this region."""
        if call.remaining_s <= 0:
            return
        first_at = call.request.arrived_at - call.waited_s
        self._remember(call.content, call.caller_deadline, first_at)
        if not self.unsent:
            eventlet.spawn_after(GATHER_S, self.send_refused)
        self.unsent.append((call.content, call.caller_deadline, first_at))

    def handle_refused(
        self, message: reports.RefusedCallers, host_ip: str
    ) -> None:
        """Remember what another entry refused."""
        now = time.monotonic()
        for caller in message.callers:
            self._remember(
                caller.content,
                now + caller.deadline_in_ms / MS_PER_S,
                now - caller.waited_ms / MS_PER_S,
            )

    def recognize(self, call: _call.Call) -> None:
        """Set how long a returning caller has waited already."""
        for found in self.refused.get(call.content, ()):
            deadline, first_at = found
            if abs(deadline - call.caller_deadline) <= DEADLINE_TOLERANCE_S:
                break
        else:
            return
        self._forget(call.content, found)
        waited_s = max(call.request.arrived_at - first_at, 0.0)
        call.objective_at -= waited_s - call.waited_s
        call.waited_s = waited_s
        telemetry.count(telemetry.Metric.CALLERS_RETURNED, label=call.service)

    def send_refused(self) -> None:
        """Tell the entries of this region which callers were refused."""
        unsent, self.unsent = self.unsent, []
        now = time.monotonic()
        callers = [
            reports.RefusedCaller(
                content=content,
                deadline_in_ms=int((deadline - now) * MS_PER_S),
                waited_ms=int((now - first_at) * MS_PER_S),
            )
            for content, deadline, first_at in unsent
            if deadline > now
        ]
        for first in range(0, len(callers), MAX_CALLERS):
            message = reports.RefusedCallers(
                callers=callers[first : first + MAX_CALLERS]
            )
            for host_ip in self.relays():
                self.send(message, host_ip)

    def _remember(
        self, content: ids.RequestContent, deadline: float, first_at: float
    ) -> None:
        for found in self.refused.get(content, ()):
            if abs(found[0] - deadline) <= DEADLINE_TOLERANCE_S:
                return
        self.refused.setdefault(content, []).append((deadline, first_at))
        self.count += 1
        while self.count > MAX_REMEMBERED:
            oldest = next(iter(self.refused))
            self._forget(oldest, self.refused[oldest][0])

    def _forget(
        self, content: ids.RequestContent, found: tuple[float, float]
    ) -> None:
        known = self.refused[content]
        known.remove(found)
        self.count -= 1
        if not known:
            del self.refused[content]
