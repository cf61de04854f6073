"""What the callers of one load got."""

import collections
from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from zinniadyke.bench import _bound
from zinniadyke.bench import _placement_workload

# Stated by the users: a kind of request, and a workspace, is served at least
# a quarter as often as all; the largest tenth half as often as its kind.
MIN_SERVED_RATIO_TO_ALL = 0.25
MIN_LARGEST_SERVED_RATIO = 0.5
# A refusal with more than this share of the places free is none.
MAX_FREE_SHARE_AT_REFUSAL = 0.5
# A request is held for nothing when it waits longer than this share of its
# objective and is then refused.
MAX_REFUSAL_WAIT_SHARE = 0.75
# Part of what the engines can complete that has to be completed.
MIN_GOODPUT = 0.9
LARGEST_SHARE = 0.1
# Fewer requests than this say nothing about a workspace.
MIN_REQUESTS_PER_GROUP = 30


class RequestOutcome(msgspec.Struct, kw_only=True):
    """How one caller's request went; times from its first try."""

    simulated_request: _placement_workload.SimulatedRequest
    answer_tokens: int = 0
    first_event_s: float | None = None
    last_event_s: float = 0.0
    max_gap_s: float = 0.0
    refusals: int = 0
    refusal_wait_s: float = 0.0
    free_slot_share: float = 0.0

    def record_event(self, at_s: float, answer_tokens: int) -> None:
        """Take an event of the stream."""
        if self.first_event_s is None:
            self.first_event_s = at_s
        else:
            self.max_gap_s = max(self.max_gap_s, at_s - self.last_event_s)
        self.last_event_s = at_s
        self.answer_tokens = answer_tokens

    def record_refusal(
        self, *, refusal_wait_s: float, free_slot_share: float
    ) -> None:
        """Take a refusal of the entry."""
        self.refusals += 1
        self.refusal_wait_s = max(self.refusal_wait_s, refusal_wait_s)
        self.free_slot_share = max(self.free_slot_share, free_slot_share)

    @property
    def served(self) -> bool:
        """Whether the whole answer came before the deadline."""
        kind = self.simulated_request.kind
        return (
            self.answer_tokens == kind.answer_tokens
            and self.last_event_s <= kind.deadline_s
        )

    @property
    def in_time(self) -> bool:
        """Whether it came within the objective and without long pauses."""
        return (
            self.served
            and self.first_event_s <= self.simulated_request.kind.objective_s
            and self.max_gap_s <= _placement_workload.MAX_GAP_S
        )


class PlacementRow(msgspec.Struct, kw_only=True):
    """One load.

    Attributes
    ----------
    asked
        Requests of callers.
    goodput
        Served requests, against those that were asked for or that the
        engines can complete, whichever is less in each second.
    worth
        Share of the worth of all requests that was earned in time.
    served_by_kind, served_by_workspace
        Share that was served.
    largest_served
        Share of each kind's largest tenth that was served, against the
        whole kind; the least of all kinds.
    held_p99
        Wait of refused requests, as a share of their objective.
    refused_while_free
        Requests that were refused with half of the places free.
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
        """Sum up.

        Parameters
        ----------
        capacities
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
        """Return the stated limits with what was measured."""
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
    """Return how many requests can be served, second by second."""
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
    """Return the share that was served of each group that asked enough."""
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
