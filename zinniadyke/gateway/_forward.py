"""Forwards a call to targets, with retries, and relays the response.

The route determines whether a request may be retried. A request that may run
only once is resent only after proof that it has not run.
"""

from collections.abc import Callable
from collections.abc import Mapping
import functools
import logging
import math
import time

from zinniadyke import directory
from zinniadyke import errors
from zinniadyke.gateway import _admission
from zinniadyke.gateway import _attempt
from zinniadyke.gateway import _call
from zinniadyke.gateway import _caller_connection
from zinniadyke.gateway import _crash_guard
from zinniadyke.gateway import _entry_counter
from zinniadyke.gateway import _memory_budget
from zinniadyke.gateway import _placement
from zinniadyke.gateway import _rescope
from zinniadyke.gateway import _response_relay
from zinniadyke.gateway import _retry_budgets
from zinniadyke.gateway import _target_state
from zinniadyke.gateway import _target_table
from zinniadyke.gateway import _token_borrower
from zinniadyke import ids
from zinniadyke import reports
from zinniadyke import settings
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

# Targets tried for one request while none accepts a connection.
MAX_PLACEMENTS = 4
# Refusals that no target within the call's scope could have prevented.
OUT_OF_SCOPE_CODES = (
    errors.ResultCode.REGION_UNAVAILABLE,
    errors.ResultCode.ZONES_EVACUATED,
)


class Forwarder:
    """Forwards calls to the targets in the directory.

    Parameters
    ----------
    zone_penalty
        Returns the penalty for sending a request to an availability zone,
        as a number of requests in flight.
    regions
        Region of each availability zone.

    Attributes
    ----------
    wait_up_to_date
        Waits until an entry that stood still knows what has changed.
    """

    def __init__(
        self,
        *,
        view: directory.View,
        target_table: _target_table.TargetTable,
        zone_penalty,
        regions: Mapping[str, str],
        bounds: settings.BoundsSection,
        crash_guard: _crash_guard.CrashGuard,
        memory: _memory_budget.ProcessMemory,
    ) -> None:
        """Admit waiting requests whenever the directory changes."""
        self.memory = memory
        self.view = view
        self.target_table = target_table
        self.zone_penalty = zone_penalty
        self.crash_guard = crash_guard
        self.regions = regions
        self.admissions: dict[ids.ServiceName, _admission.Admission] = {}
        self.entry_counter = _entry_counter.EntryCounter(
            states=target_table.states, regions=regions
        )
        self.retry_budgets = _retry_budgets.RetryBudgets(
            bounds=bounds, count_entries=self.entry_counter.count
        )
        self.token_borrower = _token_borrower.TokenBorrower(
            target_table=target_table,
            count_entries=self.entry_counter.count,
            on_answer=self._reconsider_waiting,
        )
        self.wait_up_to_date: Callable[[], None] = lambda: None
        self.known_configuration = view.configuration
        self.known_evacuated = view.evacuated_zones
        view.on_change.append(self._apply_change)

    def _apply_change(self) -> None:
        """Let waiting requests follow a change of the directory."""
        known = self.known_configuration
        configuration = self.known_configuration = self.view.configuration
        rescoped = configuration is not known and any(
            c is not None and c.named_regions() for c in (known, configuration)
        )
        evacuated = self.known_evacuated is not self.view.evacuated_zones
        self.known_evacuated = self.view.evacuated_zones
        if rescoped:
            self._log_unknown_regions(configuration)
        if rescoped or evacuated:
            for admission in self.admissions.values():
                admission.recheck_waiting()
        self.admit_waiting()

    def _log_unknown_regions(
        self, configuration: directory.ServingConfiguration
    ) -> None:
        unknown = configuration.named_regions() - set(self.regions.values())
        if unknown:
            LOG.warning(
                "allowed regions unknown",
                extra={
                    "version": configuration.version,
                    "regions": sorted(unknown),
                },
            )

    def admit_waiting(self) -> None:
        """Admit waiting requests of all services to free slots."""
        self.target_table.update_limits()
        for admission in self.admissions.values():
            admission.admit_waiting()

    def refuse_waiting(self) -> None:
        """Refuse all requests that wait for a slot, as this process ends."""
        for admission in self.admissions.values():
            admission.queue.refuse_all(errors.ResultCode.SHUTTING_DOWN)

    def has_variable_capacity(self, service: ids.ServiceName) -> bool:
        """Whether a service's slots are short for some of its requests."""
        return self._admission(service).has_variable_capacity()

    def demand_by_address(self) -> dict[str, reports.DemandByPriority]:
        """Return this entry's demand for each target, by address.

        Only for services whose routes differ in priority.
        """
        found = {}
        configuration = self.view.configuration
        for service, admission in self.admissions.items():
            if configuration is None or not configuration.has_classes(service):
                continue
            admission.publish_demand()
            for name, demand in admission.demand_by_target().items():
                state = self.target_table.states[name]
                found[state.target.address] = demand
        return found

    def _reconsider_waiting(self, service: ids.ServiceName) -> None:
        self._admission(service).reconsider_waiting()

    def serve(
        self, call: _call.Call, caller: _caller_connection.CallerConnection
    ) -> None:
        """Forward a call and relay the response to its caller.

        Raises
        ------
        RequestError
            The final result; nothing was sent to the caller.
        """
        self.crash_guard.ledger.check(call.suspects)
        admission = self._admission(call.service)
        self.retry_budgets.deposit(call.service)
        relay = _response_relay.ResponseRelay(call=call, caller=caller)
        relay.can_resume = self._can_resume
        first = attempt = None
        while True:
            try:
                self.target_table.update_limits()
                if attempt is None:
                    self._await_cold_token(call, admission)
                    state = admission.acquire(call)
                else:
                    state = admission.acquire_for_retry(call)
                self._check_suspects(call, admission, state)
            except errors.RequestError as error:
                if attempt is None or (
                    error.code in OUT_OF_SCOPE_CODES
                    and relay.certainly_not_run(attempt)
                ):
                    raise
                relay.give_up(attempt)
                return
            attempt = self._new_attempt(relay, state)
            first = first or attempt
            start_deadline = self.target_table.start_deadline(
                state, call.model
            )
            attempt.on_leaving = self._record_leaving
            attempt.why_not_send = functools.partial(
                self._why_not_send, call, state
            )
            self.crash_guard.begin(attempt)
            try:
                relay.run(attempt, start_deadline)
            finally:
                attempt.close()
                admission.release(state)
                self.crash_guard.end(attempt)
            if attempt is first and call.first_part_at is not None:
                admission.record_first_event_time(
                    call.first_part_at - call.sent_at
                )
            telemetry.count(
                telemetry.Metric.ATTEMPTS, label=attempt.outcome.value
            )
            self._record_outcome(attempt, state)
            if attempt.outcome is _call.Outcome.ANSWERED:
                admission.record_response_time(
                    time.monotonic() - attempt.started_at
                )
                return
            if not self._may_retry(relay, attempt):
                relay.give_up(attempt)
                return

    def _why_not_send(
        self, call: _call.Call, state: _target_state.TargetState
    ) -> str:
        self.wait_up_to_date()
        _rescope.rescope(call, self.view.configuration)
        return self.target_table.may_still_send(call.scope, state)

    def _await_cold_token(
        self, call: _call.Call, admission: _admission.Admission
    ) -> None:
        """Wait a moment for a token if the best target for a call is cold."""
        if call.service not in self.target_table.cold_limits:
            return
        candidates = self.target_table.candidates(call.scope, call.tried)
        if len(admission.queue) or not any(
            s.limited_as_cold for s in candidates
        ):
            return
        engine = self.target_table.has_engine(call.service)
        preferred = _placement.choose_target(
            candidates,
            self.zone_penalty,
            lambda s: not engine or s.free_slots > 0,
            mean_response_s=admission.waits.mean_response_s,
            work=call.work,
            predicts_all=self.target_table.has_classes(call.service),
        )
        if preferred is None or not preferred.limited_as_cold:
            return
        if not preferred.within_limit:
            self.token_borrower.await_token(preferred)

    def _check_suspects(
        self,
        call: _call.Call,
        admission: _admission.Admission,
        state: _target_state.TargetState,
    ) -> None:
        """Give a target's slot back if the request is refused by now."""
        try:
            self.crash_guard.ledger.check(call.suspects)
        except errors.RequestError:
            admission.release(state)
            raise

    def _new_attempt(
        self,
        relay: _response_relay.ResponseRelay,
        state: _target_state.TargetState,
    ) -> _attempt.Attempt:
        call = relay.call
        call.tried.append(state.target.id)
        if call.sent_at is None:
            call.sent_at = time.monotonic()
            call.load_at_send = state.load
            call.load_age_s = call.sent_at - state.reported_at
            call.predicted_s = _placement.predict_first_event_s(
                state, call.work
            )
        state.record_sent(call.work.kv_tokens)
        return _attempt.Attempt(
            call=call,
            state=state,
            last_event_id=relay.last_event_id,
            answers=self.memory.answers,
        )

    def _record_leaving(self, attempt: _attempt.Attempt) -> None:
        """Record that the target that answered is leaving.

        An answer that the request is for another target comes from the one
        that is registered at the address now.
        """
        asked = attempt.state.target
        leaving = [asked]
        if attempt.misdirected:
            leaving = [
                t
                for t in (self.view.targets or {}).values()
                if t.address == asked.address and t.id != asked.id
            ]
        for target in leaving:
            self.view.mark_leaving(target, source="answer")
            telemetry.count(
                telemetry.Metric.TARGETS_LEAVING, label=target.service
            )

    def _record_outcome(
        self, attempt: _attempt.Attempt, state: _target_state.TargetState
    ) -> None:
        if attempt.outcome in (
            _call.Outcome.ANSWERED,
            _call.Outcome.FAILED,
        ):
            state.record_success()
            return
        if attempt.misdirected:
            state.mark_replaced()
        # A withdrawn or withheld request says nothing about the target.
        failed = not (attempt.refused or attempt.withdrawn or attempt.withheld)
        ejected = state.record_failure() if failed else False
        if ejected:
            telemetry.count(
                telemetry.Metric.TARGET_RESTS, label=state.target.service
            )
        LOG.info(
            "attempt ended",
            extra={
                "request": attempt.call.id,
                "content": attempt.call.content,
                "target": state.target.id,
                "outcome": attempt.outcome.value,
                "reason": attempt.reason,
                "cut_off": attempt.cut_off,
                "after_ms": _ms_since(attempt.started_at),
                "target_load": state.load,
                "target_rests": ejected,
            },
        )

    def _may_retry(
        self, relay: _response_relay.ResponseRelay, attempt: _attempt.Attempt
    ) -> bool:
        call = relay.call
        if len(call.tried) >= call.route.max_attempts and attempt.sent:
            return False
        if call.remaining_s <= 0:
            return False
        if self.crash_guard.ledger.refuses(call.suspects):
            return False
        never = call.route.retry_mode is directory.RetryMode.NEVER
        if never and attempt.outcome is not _call.Outcome.NOT_RUN:
            return False
        if relay.streaming and (
            call.route.retry_mode is not directory.RetryMode.RESUME
        ):
            return False
        if not attempt.sent:
            # Nothing was sent, so this does not count as an attempt.
            return len(call.tried) < MAX_PLACEMENTS
        return self.retry_budgets.withdraw(call.service)

    def _can_resume(self, call: _call.Call) -> bool:
        """Whether the budget and the targets allow another attempt."""
        _rescope.rescope(call, self.view.configuration)
        return self.retry_budgets.allows(call.service) and any(
            state.within_limit
            for state in self.target_table.candidates(call.scope, call.tried)
        )

    def _admission(self, service: ids.ServiceName) -> _admission.Admission:
        if service not in self.admissions:
            self.admissions[service] = _admission.Admission(
                target_table=self.target_table,
                service=service,
                zone_penalty=self.zone_penalty,
                request_token=self.token_borrower.request_token,
            )
        return self.admissions[service]


def _ms_since(moment: float) -> int:
    return math.ceil((time.monotonic() - moment) * 1000)
