"""Outcomes of requests, and their summary for one load scenario."""

import collections
from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from zinniadyke.bench import _bound
from zinniadyke.bench import _placement_workload

# Required by the users for every kind and workspace, relative to all requests.
MIN_SERVED_RATIO_TO_ALL = 0.25
# Required by the users for the largest tenth, relative to its kind.
MIN_LARGEST_SERVED_RATIO = 0.5
# No request may be refused with more than this share of the slots free.
MAX_FREE_SHARE_AT_REFUSAL = 0.5
# A refused request that waited for more than this share of its objective
# was queued in vain.
MAX_REFUSAL_WAIT_SHARE = 0.75
# Required share of the requests that the engines can complete.
MIN_GOODPUT = 0.9
LARGEST_SHARE = 0.1
# With fewer requests, a workspace's served share is not significant.
MIN_REQUESTS_PER_GROUP = 30


class RequestOutcome(msgspec.Struct, kw_only=True):
    """Outcome of one caller's request.

    Attributes
    ----------
    first_event_s, last_event_s
        Times of the first and the latest event of the response stream, in
        seconds from the first try.
    max_gap_s
        Longest time between two events, in seconds.
    refusal_wait_s
        Longest wait of a try before its refusal, in seconds.
    free_slot_share
        Highest share of free slots at a refusal.
    """

    simulated_request: _placement_workload.SimulatedRequest
    answer_tokens: int = 0
    first_event_s: float | None = None
    last_event_s: float = 0.0
    max_gap_s: float = 0.0
    refusals: int = 0
    refusal_wait_s: float = 0.0
    free_slot_share: float = 0.0

    def record_event(self, at_s: float, answer_tokens: int) -> None:
        """Record an event of the response stream."""
        if self.first_event_s is None:
            self.first_event_s = at_s
        else:
            self.max_gap_s = max(self.max_gap_s, at_s - self.last_event_s)
        self.last_event_s = at_s
        self.answer_tokens = answer_tokens

    def record_refusal(
        self, *, refusal_wait_s: float, free_slot_share: float
    ) -> None:
        """Record a refusal by the entry."""
        self.refusals += 1
        self.refusal_wait_s = max(self.refusal_wait_s, refusal_wait_s)
        self.free_slot_share = max(self.free_slot_share, free_slot_share)

    @property
    def served(self) -> bool:
        """Whether the complete answer arrived before the deadline."""
        kind = self.simulated_request.kind
        return (
            self.answer_tokens == kind.answer_tokens
            and self.last_event_s <= kind.deadline_s
        )

    @property
    def in_time(self) -> bool:
        """Whether it met the latency objective without long gaps."""
        return (
            self.served
            and self.first_event_s <= self.simulated_request.kind.objective_s
            and self.max_gap_s <= _placement_workload.MAX_GAP_S
        )


class PlacementRow(msgspec.Struct, kw_only=True):
    """Results of one load scenario.

    Attributes
    ----------
    asked
        Number of callers' requests.
    in_time, late, refused, failed
        Shares of the requests; they add up to 1.
    goodput
        Served requests, relative to the requests sent or those that the
        engines can complete, whichever is less in each second.
    worth
        Share of the total worth that was earned by answers in time.
    served_by_kind, served_by_workspace
        Served share by group.
    largest_served
        Served share of the tenth of a kind with the longest prompts,
        relative to the whole kind; the minimum over all kinds.
    held_p99
        99th percentile of the wait before a refusal, as a share of the
        objective.
    refused_while_free
        Requests that were refused with more than half of the slots free.
    """

    load: str
    asked: int
    in_time: float
    late: float
    refused: float
    failed: float
    goodput: float
    worth: float
    served_by_kind: dict[str, float]
    served_by_workspace: dict[str, float]
    largest_served: float
    held_p99: float
    refused_while_free: int

    @classmethod
    def from_outcomes(
        cls,
        load: str,
        capacities_per_s: list[float],
        outcomes: list[RequestOutcome],
    ) -> "PlacementRow":
        """Summarize the outcomes of a scenario.

        Parameters
        ----------
        capacities_per_s
            Requests that the engines can complete in each second.
        """
        request_count = len(outcomes)
        served = [e for e in outcomes if e.served]
        in_time = [e for e in served if e.in_time]
        refused = [e for e in outcomes if not e.answer_tokens and e.refusals]
        refusal_wait_shares = sorted(
            e.refusal_wait_s / e.simulated_request.kind.objective_s
            for e in outcomes
            if e.refusals
        )
        return cls(
            load=load,
            asked=request_count,
            in_time=len(in_time) / request_count,
            late=(len(served) - len(in_time)) / request_count,
            refused=len(refused) / request_count,
            failed=(request_count - len(served) - len(refused))
            / request_count,
            goodput=len(served) / _max_servable(capacities_per_s, outcomes),
            worth=_total_worth(in_time) / _total_worth(outcomes),
            served_by_kind=_served_share_by(
                outcomes, lambda e: e.simulated_request.kind.name
            ),
            served_by_workspace=_served_share_by(
                outcomes, lambda e: e.simulated_request.workspace
            ),
            largest_served=_lowest_largest_served_ratio(outcomes),
            held_p99=refusal_wait_shares[int(0.99 * len(refusal_wait_shares))]
            if refusal_wait_shares
            else 0.0,
            refused_while_free=sum(
                e.free_slot_share > MAX_FREE_SHARE_AT_REFUSAL for e in refused
            ),
        )

    def bounds(self) -> list[_bound.Bound]:
        """Return the required limits and the measured values."""
        served = self.in_time + self.late
        groups = {**self.served_by_kind, **self.served_by_workspace}
        return [
            _bound.Bound(
                name=f"{self.load}: capacity lost",
                limit=1 - MIN_GOODPUT,
                value=1 - self.goodput,
            ),
            _bound.Bound(
                name=f"{self.load}: worst served kind or workspace, lost",
                limit=1 - MIN_SERVED_RATIO_TO_ALL,
                value=1 - min(groups.values()) / served,
            ),
            _bound.Bound(
                name=f"{self.load}: largest tenth, lost",
                limit=1 - MIN_LARGEST_SERVED_RATIO,
                value=1 - self.largest_served,
            ),
            _bound.Bound(
                name=f"{self.load}: held before a refusal, of the objective",
                limit=MAX_REFUSAL_WAIT_SHARE,
                value=self.held_p99,
            ),
            _bound.Bound(
                name=f"{self.load}: refused with places free",
                limit=0,
                value=self.refused_while_free,
            ),
        ]


def _max_servable(
    capacities_per_s: list[float], outcomes: list[RequestOutcome]
) -> float:
    """Return how many requests can be served, summed over the seconds."""
    asked = collections.Counter(
        int(outcome.simulated_request.at_s) for outcome in outcomes
    )
    return sum(
        min(asked[second], capacity)
        for second, capacity in enumerate(capacities_per_s)
    )


def _total_worth(outcomes: Iterable[RequestOutcome]) -> float:
    return sum(e.simulated_request.kind.worth for e in outcomes)


def _served_share_by(
    outcomes: list[RequestOutcome], group_name: Callable[[RequestOutcome], str]
) -> dict[str, float]:
    """Return the served share of each group with enough requests."""
    asked: dict[str, list[bool]] = {}
    for outcome in outcomes:
        asked.setdefault(group_name(outcome), []).append(outcome.served)
    return {
        name: sum(members) / len(members)
        for name, members in sorted(asked.items())
        if len(members) >= MIN_REQUESTS_PER_GROUP
    }


def _lowest_largest_served_ratio(outcomes: list[RequestOutcome]) -> float:
    by_kind: dict[str, list[RequestOutcome]] = {}
    for outcome in outcomes:
        by_kind.setdefault(outcome.simulated_request.kind.name, []).append(
            outcome
        )
    lowest_ratio = 1.0
    for members in by_kind.values():
        members.sort(key=lambda e: e.simulated_request.prompt_tokens)
        largest = members[-max(1, int(LARGEST_SHARE * len(members))) :]
        largest_served_share = sum(e.served for e in largest) / len(largest)
        kind_served_share = sum(e.served for e in members) / len(members)
        lowest_ratio = min(
            lowest_ratio,
            largest_served_share / kind_served_share
            if kind_served_share
            else 0.0,
        )
    return lowest_ratio
