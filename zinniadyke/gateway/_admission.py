"""Admission control for requests to a service's targets.

Under overload there are more requests than engine slots. A request queues
only while it can still be answered within its objective; otherwise it is
rejected immediately, with an estimate of when a slot will be free. Where
capacity is variable it may also queue behind all those, until its deadline.
"""

import collections
from collections.abc import Callable
import time

import eventlet

from zinniadyke import errors
from zinniadyke.gateway import _call
from zinniadyke.gateway import _class_record
from zinniadyke.gateway import _competition
from zinniadyke.gateway import _demand
from zinniadyke.gateway import _refusals
from zinniadyke.gateway import _rescope
from zinniadyke.gateway import _reservation
from zinniadyke.gateway import _scope
from zinniadyke.gateway import _slots
from zinniadyke.gateway import _target_state
from zinniadyke.gateway import _target_table
from zinniadyke.gateway import _waits
from zinniadyke import ids
from zinniadyke import requests
from zinniadyke import telemetry

# Longest wait of a repeat for a token of a target that limits requests.
RETRY_TOKEN_WAIT_S = 0.3
TOKEN_CHECK_S = 0.01
# Limit per workspace and priority. In practice the estimated wait keeps the
# queue shorter.
MAX_QUEUE_LENGTH = 1000
# Rank of a class that must not wait for others any longer.
FIRST_RANK = -1
# Rank behind all classes, of requests that have missed their objective.
LATE_RANK = 1000
# A request waits for a slot with at least this chance to get one within its
# objective. Refused at once, it would be late for certain.
MIN_SLOT_CHANCE = 0.25
# Interval at which it is checked whether capacity is variable.
VARIABILITY_CHECK_S = 0.2
# Part of the objective that the time to the first event may take up before a
# request that has just arrived counts as late.
MAX_MARGIN_PART = 0.75


class Admission:
    """Admits requests to the free slots of one service's targets.

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
        zone_penalty,
        request_token: Callable[[_target_state.TargetState], None] = (
            lambda state: None
        ),
    ) -> None:
        """Start with an empty queue."""
        self.target_table = target_table
        self.service = service
        self.request_token = request_token
        self.queue = requests.LaneQueue()
        self.waits = _waits.Waits()
        self.demand = _demand.Demand()
        self.record = _class_record.ClassRecord()
        self.queue.rank_of = self._rank_of
        self.published: set[int] = set()
        self.variable_capacity = False
        self.variability_checked_at = float("-inf")
        self.slots = _slots.Slots(
            target_table=target_table,
            service=service,
            zone_penalty=zone_penalty,
            request_token=lambda state: self.request_token(state),
        )

    @property
    def completion_times(self) -> collections.deque[float]:
        """Monotonic times at which attempts ended."""
        return self.waits.completion_times

    def acquire_for_retry(self, call: _call.Call) -> _target_state.TargetState:
        """Reserve a slot for a call's next attempt and return its target.

        A retry neither queues nor needs a free slot: the call has queued
        before its first attempt, and the caller of a resumed stream is
        already waiting for the next event. It counts towards a limit that
        the target names.

        Raises
        ------
        RequestError
            No untried target is available.
        """
        deadline = time.monotonic() + min(RETRY_TOKEN_WAIT_S, call.remaining_s)
        while True:
            self._rescope(call)
            candidates = self.target_table.candidates(call.scope, call.tried)
            state = self.slots.choose(
                call, candidates, lambda _: True, self.waits.mean_response_s
            )
            if state is not None:
                return self.slots.reserve(state)
            if not candidates or time.monotonic() >= deadline:
                raise self._no_target(call)
            # All are limited, and an agent's answer is on its way.
            eventlet.sleep(TOKEN_CHECK_S)

    def acquire(self, call: _call.Call) -> _target_state.TargetState:
        """Reserve a slot for the call and return its target.

        Raises
        ------
        RequestError
            No target can serve the call in time. Nothing was sent.
        """
        self._rescope(call)
        scope = call.scope
        candidates = self.target_table.candidates(scope, call.tried)
        has_classes = self._has_classes()
        may_wait_late = self.has_variable_capacity()
        if has_classes and candidates:
            self.record.record_arrival(call.route.priority)
        if may_wait_late and candidates and not self._is_late(call):
            self.demand.record(scope, call.route.priority)
        if not len(self.queue) or self._goes_first(call):
            state = self._choose_target(call, candidates, has_classes)
            if state is not None:
                return self._admit(call, state, has_classes)
        competition = self._new_competition()
        competition.found[scope] = candidates
        while True:
            if not competition.targets(scope):
                raise self._no_target(call)
            lane = self._plan_wait(call, competition, may_wait_late)
            telemetry.gauge(
                telemetry.Metric.QUEUE_LENGTH,
                len(self.queue) + 1,
                label=self.service,
            )
            try:
                self.queue.wait_in(
                    lane,
                    call.workspace or ids.WorkspaceName(""),
                    MAX_QUEUE_LENGTH,
                    call.max_wait_s,
                )
            except errors.RequestError as error:
                if (
                    not may_wait_late
                    or lane.late
                    or error.code is not errors.ResultCode.QUEUE_TIMEOUT
                ):
                    raise
            # Targets and the call's scope may have changed during the wait.
            self._rescope(call)
            scope = call.scope
            competition = self._new_competition()
            state = self._choose_target(
                call, competition.targets(scope), has_classes
            )
            if state is not None:
                return self._admit(call, state, has_classes)

    def release(self, state: _target_state.TargetState) -> None:
        """Free the slot of a finished attempt and admit waiting requests."""
        state.in_flight -= 1
        self.waits.record_completion()
        self.admit_waiting()

    def record_first_event_time(self, took_s: float) -> None:
        """Update the mean time to the first event, in seconds."""
        self.waits.record_first_event_time(took_s)

    def record_response_time(self, took_s: float) -> None:
        """Update the mean time of complete responses, in seconds."""
        self.waits.record_response_time(took_s)

    def admit_waiting(self) -> None:
        """Grant a turn to one waiting request per free slot."""
        if not len(self.queue):
            return
        if not self.target_table.has_open_target(self.service):
            # Those that wait find no target and are refused at once.
            while self.queue.grant():
                pass
            return
        competition = self._new_competition()
        places: dict[tuple[_scope.Scope, int, bool], int | None] = {}

        def has_place(lane: requests.Lane) -> bool:
            key = (lane.scope, lane.rank, lane.late)
            if key not in places:
                places[key] = self._count_places(lane, competition)
            if places[key] is None:
                return True
            pending = sum(
                count
                for scope, count in self.queue.pending_by_scope.items()
                if competition.overlap(lane.scope, scope)
            )
            return places[key] > pending

        while len(self.queue) and self.queue.grant_eligible(has_place):
            pass
        for scope, count in self.queue.count_by_scope().items():
            self.slots.request_tokens(competition.targets(scope), count)

    def reconsider_waiting(self) -> None:
        """Admit waiting requests; refuse those that limits keep too long.

        Each request that wakes without a free slot compares its expected
        wait with the longest that its objective allows again.
        """
        self.admit_waiting()
        competition = self._new_competition()

        def is_limited(lane: requests.Lane) -> bool:
            return all(
                s.tokens is not None and s.tokens.next_in_s
                for s in competition.targets(lane.scope)
            )

        while self.queue.grant_eligible(is_limited):
            pass

    def has_variable_capacity(self) -> bool:
        """Whether the slots that a request may get change while it waits.

        Load: classes of different urgency that take slots from one another,
        and hosts that share their processors with other work. Elsewhere a
        request that misses its objective gains nothing by waiting.
        """
        now = time.monotonic()
        if now > self.variability_checked_at + VARIABILITY_CHECK_S:
            self.variability_checked_at = now
            self.variable_capacity = self._has_classes() or any(
                s.slowness is not None
                for s in self.target_table.used.get(self.service, ())
            )
        return self.variable_capacity

    def recheck_waiting(self) -> None:
        """Let all waiting requests look for a target again.

        Load: a zone is evacuated, or allowed regions change. Requests that
        no target is left for are refused at once; the others queue again.
        """
        while self.queue.grant():
            pass

    def _rescope(self, call: _call.Call) -> None:
        _rescope.rescope(call, self.target_table.view.configuration)

    def demand_by_target(self) -> dict[ids.TargetId, dict[int, float]]:
        """Return this entry's demand for each target, by priority."""
        competition = self._new_competition()
        found: dict[ids.TargetId, dict[int, float]] = {}
        for (scope, priority), per_s in self.demand.per_s().items():
            targets = competition.targets(scope)
            for state in targets:
                demand = found.setdefault(state.target.id, {})
                demand[priority] = demand.get(priority, 0.0) + per_s / len(
                    targets
                )
        return found

    def publish_demand(self) -> None:
        """Set the gauges of this entry's demand and of its reservations."""
        by_priority: dict[int, float] = dict.fromkeys(self.published, 0.0)
        for (_, priority), per_s in self.demand.per_s().items():
            by_priority[priority] = by_priority.get(priority, 0.0) + per_s
        states = self.target_table.available_targets(self.service)
        for priority, per_s in by_priority.items():
            label = f"{self.service}.{priority}"
            telemetry.gauge(telemetry.Metric.DEMAND, per_s, label=label)
            telemetry.gauge(
                telemetry.Metric.RESERVED_SLOTS,
                self._reserved(states, priority),
                label=label,
            )
        self.published = set(by_priority)

    def _has_classes(self) -> bool:
        """Whether routes to the service differ in priority."""
        return self.target_table.has_classes(self.service)

    def _plan_wait(
        self,
        call: _call.Call,
        competition: _competition.Competition,
        may_wait_late: bool,
    ) -> requests.Lane:
        """Return the lane in which a call waits, and set its longest wait.

        Raises
        ------
        RequestError
            No slot is expected in time.
        """
        lane = _lane(call, late=False)
        call.queue_length_at_decision = len(self.queue)
        ahead = self.queue.count_ahead_in(
            lane, competition.overlaps(call.scope)
        )
        slot_wait_s = self._expected_wait_s(lane, competition, ahead)
        token_wait_s = self._token_wait_s(call, competition, ahead)
        waits_for_token = self._waits_for_token(
            competition.targets(call.scope)
        )
        call.expected_wait_s = (
            token_wait_s if waits_for_token else min(slot_wait_s, token_wait_s)
        )
        call.max_wait_s = self._max_wait_s(call)
        if 0 < token_wait_s < call.max_wait_s:
            # An entry's own share falls due without any message.
            eventlet.spawn_after(token_wait_s, self.admit_waiting)
        if call.max_wait_s > 0 and (
            call.expected_wait_s <= call.max_wait_s
            or (
                may_wait_late
                and not waits_for_token
                and self._slot_chance(call, lane, competition, ahead)
                >= MIN_SLOT_CHANCE
            )
        ):
            return lane
        if may_wait_late and not waits_for_token:
            late_lane = _lane(call, late=True)
            slot_wait_s = self._expected_wait_s(
                late_lane,
                competition,
                self.queue.count_ahead_in(
                    late_lane, competition.overlaps(call.scope)
                ),
            )
            call.expected_wait_s = slot_wait_s
            call.max_wait_s = self.waits.max_late_wait_s(call)
            if call.expected_wait_s <= call.max_wait_s:
                telemetry.count(
                    telemetry.Metric.LATE_WAITS, label=self.service
                )
                return late_lane
        raise _refusals.queue_full(
            slot_wait_s, token_wait_s if waits_for_token else None
        )

    def _is_late(self, call: _call.Call) -> bool:
        """Whether a call can no longer be answered within its objective."""
        return self._max_wait_s(call) <= 0

    def _max_wait_s(self, call: _call.Call) -> float:
        """Return the longest wait that still meets a call's objective.

        Load: targets that are so full or slow that first events take longer
        than the objective. Requests that have just arrived still go before
        those that are late for certain, and so the targets recover.
        """
        if self.has_variable_capacity():
            return self.waits.max_wait_s(call, MAX_MARGIN_PART)
        return self.waits.max_wait_s(call)

    def _goes_first(self, call: _call.Call) -> bool:
        """Whether a call is more urgent than all that it competes with."""
        competition = self._new_competition()
        late = self.has_variable_capacity() and self._is_late(call)
        return self.queue.goes_first(
            _lane(call, late=late), competition.overlaps(call.scope)
        )

    def _admit(
        self,
        call: _call.Call,
        state: _target_state.TargetState,
        has_classes: bool,
    ) -> _target_state.TargetState:
        if has_classes:
            self.record.record_admission(call.route.priority)
        return self.slots.reserve(state)

    def _choose_target(
        self,
        call: _call.Call,
        candidates: list[_target_state.TargetState],
        has_classes: bool,
    ) -> _target_state.TargetState | None:
        late = self.has_variable_capacity() and self._is_late(call)
        if has_classes or late:
            reserved = self._reserved(
                candidates, LATE_RANK if late else call.route.priority
            )
            call.reserved_slots = reserved
            if reserved and reserved >= sum(
                self.slots.free_places(s) for s in candidates
            ):
                return None
        return self.slots.choose(
            call,
            candidates,
            lambda s: self.slots.free_slots(s) > 0,
            self.waits.mean_response_s,
        )

    def _rank_of(self, rank: int) -> int:
        """Return the rank that a class counts as: the first if it is short."""
        return FIRST_RANK if self.record.is_short(rank) else rank

    def _reserved(
        self, states: list[_target_state.TargetState], rank: int
    ) -> int:
        """Return how many of the targets' free slots a class leaves free."""
        if not self._has_classes():
            return (
                self._reserved_for_in_time(states)
                if (rank == LATE_RANK)
                else 0
            )
        reserved = sum(
            _reservation.reserved_slots(
                state.known_demand,
                rank,
                slots=state.target.slots,
                mean_response_s=self.waits.mean_response_s,
            )
            * (state.slot_part or 1 / state.entries)
            for state in states
            if state.demand
        )
        if not reserved or self.record.is_short(rank):
            return 0
        return self.slots.round(reserved)

    def _reserved_for_in_time(
        self, states: list[_target_state.TargetState]
    ) -> int:
        """Return how many slots late requests leave to those in time.

        Load: a backlog of late requests that takes each slot as it becomes
        free; those that arrive then wait for slots at full targets and
        become late too.
        """
        if not states:
            return 0
        per_s = sum(self.demand.per_s().values())
        slots = sum(s.target.slots for s in states) / len(states)
        return self.slots.round(
            per_s
            * (
                _reservation.REPORT_INTERVAL_S
                + self.waits.mean_response_s / max(slots, 1.0)
            )
        )

    def _new_competition(self) -> _competition.Competition:
        return _competition.Competition(target_table=self.target_table)

    def _count_places(
        self, lane: requests.Lane, competition: _competition.Competition
    ) -> int | None:
        """Return the free slots for a lane; None if no target is left.

        Those that wait without a target are refused when they are granted.
        """
        targets = competition.targets(lane.scope)
        if not targets:
            return None
        return sum(
            self.slots.free_places(s) for s in targets
        ) - self._reserved(targets, LATE_RANK if lane.late else lane.rank)

    def _expected_wait_s(
        self,
        lane: requests.Lane,
        competition: _competition.Competition,
        ahead: float,
    ) -> float:
        """Return the estimated wait for a slot, in seconds."""
        return self.waits.slot_wait_s(
            ahead, **self._slot_supply(lane, competition)
        )

    def _slot_chance(
        self,
        call: _call.Call,
        lane: requests.Lane,
        competition: _competition.Competition,
        ahead: float,
    ) -> float:
        """Return the chance of a slot within the longest wait of a call."""
        return self.waits.slot_chance(
            ahead, call.max_wait_s, **self._slot_supply(lane, competition)
        )

    def _slot_supply(
        self, lane: requests.Lane, competition: _competition.Competition
    ) -> dict[str, float]:
        """Return what decides how many slots become free for a lane."""
        rank = LATE_RANK if lane.late else self._rank_of(lane.rank)
        return {
            "part": competition.capacity_part(lane.scope),
            "more_urgent_per_s": sum(
                per_s * competition.overlap(lane.scope, scope)
                for (scope, other), per_s in self.demand.per_s().items()
                if other < rank
            ),
            "least_part": (
                0.0 if lane.late else self.record.least_part(lane.rank)
            ),
        }

    def _waits_for_token(
        self, candidates: list[_target_state.TargetState]
    ) -> bool:
        """Whether slots are free, at targets that all limit requests."""
        return all(s.tokens is not None for s in candidates) and any(
            self.slots.free_slots(s) > 0 for s in candidates
        )

    def _token_wait_s(
        self,
        call: _call.Call,
        competition: _competition.Competition,
        ahead: float,
    ) -> float:
        return _waits.token_wait_s(
            (
                s
                for s in competition.targets(call.scope)
                if s.tokens is not None and self.slots.free_slots(s) > 0
            ),
            ahead,
        )

    def _no_target(self, call: _call.Call) -> errors.RequestError:
        return _refusals.no_target(
            self.target_table.explain_no_target(call.scope),
            self.target_table.reopens_in_s(call.scope),
        )


def _lane(call: _call.Call, *, late: bool) -> requests.Lane:
    """Return the lane in which a call waits."""
    return requests.Lane(
        level=call.workspace_priority,
        priority=call.urgency.workspace,
        rank=call.urgency.route,
        scope=call.scope,
        late=late,
    )
