"""Free slots of a service's targets, and the choice among them."""

from collections.abc import Callable
from collections.abc import Iterable
import math
import random
import time

from zinniadyke.gateway import _call
from zinniadyke.gateway import _placement
from zinniadyke.gateway import _reservation
from zinniadyke.gateway import _target_state
from zinniadyke.gateway import _target_table
from zinniadyke import ids

# Slots of a target whose service has no engine: it queues and sheds load
# itself.
UNLIMITED_SLOTS = 1000

HasFreeSlot = Callable[[_target_state.TargetState], bool]


class Slots:
    """Chooses targets that have a free slot and reserves it.

    Load: more requests than slots, at entries that share the slots and know
    of one another only from reports; targets that limit requests.

    Parameters
    ----------
    zone_penalty
        Returns the penalty for sending a request to an availability zone,
        as a number of requests in flight.
    request_token
        Called with a target that limits requests when one more is wanted.
    """

    def __init__(
        self,
        *,
        target_table: _target_table.TargetTable,
        service: ids.ServiceName,
        zone_penalty: Callable[[str], float],
        request_token: Callable[[_target_state.TargetState], None],
    ) -> None:
        """Keep the table; slots are counted in the states of its targets."""
        self.target_table = target_table
        self.service = service
        self.zone_penalty = zone_penalty
        self.request_token = request_token
        self.drawn = 0.0
        self.drawn_at = float("-inf")

    def reserve(
        self, state: _target_state.TargetState
    ) -> _target_state.TargetState:
        """Count a request to a target, and a token if it limits requests."""
        state.in_flight += 1
        if state.tokens is not None:
            state.tokens.take()
        return state

    def free_slots(self, state: _target_state.TargetState) -> int:
        """Return the number of requests that this entry may send now."""
        if not self.target_table.has_engine(self.service):
            return UNLIMITED_SLOTS
        return state.free_slots

    def free_places(self, state: _target_state.TargetState) -> int:
        """Return how many waiting requests a target may get now."""
        free = max(0, self.free_slots(state))
        if state.tokens is not None:
            free = min(free, state.tokens.count)
        return free

    def round(self, reserved: float) -> int:
        """Round reserved slots randomly, in the same way for an interval.

        Otherwise each of many decisions would draw anew, and the lowest of
        the numbers would apply.
        """
        if not reserved:
            return 0
        now = time.monotonic()
        if now > self.drawn_at + _reservation.REPORT_INTERVAL_S:
            self.drawn, self.drawn_at = random.random(), now
        return math.floor(reserved + self.drawn)

    def choose(
        self,
        call: _call.Call,
        candidates: list[_target_state.TargetState],
        has_free_slot: HasFreeSlot,
        mean_response_s: float,
    ) -> _target_state.TargetState | None:
        """Return the best target whose limit allows a request now.

        Load: targets in need, which take fewer requests from all entries
        together than they have slots for. One token is asked for, at the
        target that this request would have gone to, or else at the one that
        has one first.
        """
        preferred = self._choose(
            call, candidates, has_free_slot, mean_response_s
        )
        if preferred is None or preferred.within_limit:
            return preferred
        usable = self._choose(
            call,
            candidates,
            lambda s: s.within_limit and has_free_slot(s),
            mean_response_s,
        )
        if usable is not None:
            self.request_token(preferred)
        else:
            self.request_tokens(filter(has_free_slot, candidates), 1)
        return usable

    def request_tokens(
        self, states: Iterable[_target_state.TargetState], count: int
    ) -> None:
        """Ask for tokens at the targets that have one first."""
        limited = [s for s in states if not s.within_limit]
        limited.sort(key=lambda s: (s.tokens.next_in_s, random.random()))
        for state in limited[:count]:
            self.request_token(state)

    def _choose(
        self,
        call: _call.Call,
        candidates: list[_target_state.TargetState],
        has_free_slot: HasFreeSlot,
        mean_response_s: float,
    ) -> _target_state.TargetState | None:
        return _placement.choose_target(
            candidates,
            self.zone_penalty,
            has_free_slot,
            mean_response_s=mean_response_s,
            work=call.work,
            predicts_all=self.target_table.has_classes(self.service),
        )
