"""What the callers of one load got."""

import collections
from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from zinniadyke.bench import _bound
from zinniadyke.bench import _placement_load

# Stated by the users: a kind of request, and a workspace, is served at least
# a quarter as often as all; the largest tenth half as often as its kind.
MIN_SERVED_AGAINST_ALL = 0.25
MIN_LARGEST_SERVED = 0.5
# A refusal with more than this share of the places free is none.
FREE_SHARE = 0.5
# A request is held for nothing when it waits longer than this share of its
# objective and is then refused.
MAX_HELD_SHARE = 0.75
# Part of what the engines can complete that has to be completed.
MIN_GOODPUT = 0.9
LARGEST = 0.1
# Fewer requests than this say nothing about a workspace.
FEWEST_ASKED = 30


class End(msgspec.Struct, kw_only=True):
    """How one caller's request went; times from its first try."""

    ask: _placement_load.Ask
    tokens: int = 0
    first_s: float | None = None
    last_s: float = 0.0
    gap_s: float = 0.0
    refusals: int = 0
    held_s: float = 0.0
    free_share: float = 0.0

    def note_event(self, at_s: float, tokens: int) -> None:
        """Take an event of the stream."""
        if self.first_s is None:
            self.first_s = at_s
        else:
            self.gap_s = max(self.gap_s, at_s - self.last_s)
        self.last_s = at_s
        self.tokens = tokens

    def note_refusal(self, *, held_s: float, free_share: float) -> None:
        """Take a refusal of the entry."""
        self.refusals += 1
        self.held_s = max(self.held_s, held_s)
        self.free_share = max(self.free_share, free_share)

    @property
    def served(self) -> bool:
        """Whether the whole answer came before the deadline."""
        kind = self.ask.kind
        return self.tokens == kind.tokens and self.last_s <= kind.deadline_s

    @property
    def in_time(self) -> bool:
        """Whether it came within the objective and without long pauses."""
        return (
            self.served
            and self.first_s <= self.ask.kind.objective_s
            and self.gap_s <= _placement_load.MAX_GAP_S
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
    def of(
        cls, load: str, capacities: list[float], ends: list[End]
    ) -> "PlacementRow":
        """Sum up.

        Parameters
        ----------
        capacities
            Requests that the engines can complete in each second.
        """
        count = len(ends)
        served = [e for e in ends if e.served]
        in_time = [e for e in served if e.in_time]
        refused = [e for e in ends if not e.tokens and e.refusals]
        held = sorted(
            e.held_s / e.ask.kind.objective_s for e in ends if e.refusals
        )
        return cls(
            load=load,
            asked=count,
            in_time=len(in_time) / count,
            late=(len(served) - len(in_time)) / count,
            refused=len(refused) / count,
            failed=(count - len(served) - len(refused)) / count,
            goodput=len(served) / _most_served(capacities, ends),
            worth=_worth(in_time) / _worth(ends),
            served_by_kind=_served_by(ends, lambda e: e.ask.kind.name),
            served_by_workspace=_served_by(ends, lambda e: e.ask.workspace),
            largest_served=_largest_served(ends),
            held_p99=held[int(0.99 * len(held))] if held else 0.0,
            refused_while_free=sum(e.free_share > FREE_SHARE for e in refused),
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
                limit=1 - MIN_SERVED_AGAINST_ALL,
                value=1 - min(groups.values()) / served,
            ),
            _bound.Bound(
                name=f"{self.load}: largest tenth, lost",
                limit=1 - MIN_LARGEST_SERVED,
                value=1 - self.largest_served,
            ),
            _bound.Bound(
                name=f"{self.load}: held before a refusal, of the objective",
                limit=MAX_HELD_SHARE,
                value=self.held_p99,
            ),
            _bound.Bound(
                name=f"{self.load}: refused with places free",
                limit=0,
                value=self.refused_while_free,
            ),
        ]


def _most_served(capacities: list[float], ends: list[End]) -> float:
    """Return how many requests can be served, second by second."""
    asked = collections.Counter(int(end.ask.at_s) for end in ends)
    return sum(
        min(asked[second], capacity)
        for second, capacity in enumerate(capacities)
    )


def _worth(ends: Iterable[End]) -> float:
    return sum(e.ask.kind.worth for e in ends)


def _served_by(
    ends: list[End], group: Callable[[End], str]
) -> dict[str, float]:
    """Return the share that was served of each group that asked enough."""
    asked: dict[str, list[bool]] = {}
    for end in ends:
        asked.setdefault(group(end), []).append(end.served)
    return {
        name: sum(found) / len(found)
        for name, found in sorted(asked.items())
        if len(found) >= FEWEST_ASKED
    }


def _largest_served(ends: list[End]) -> float:
    by_kind: dict[str, list[End]] = {}
    for end in ends:
        by_kind.setdefault(end.ask.kind.name, []).append(end)
    least = 1.0
    for found in by_kind.values():
        found.sort(key=lambda e: e.ask.prompt)
        largest = found[-max(1, int(LARGEST * len(found))) :]
        share = sum(e.served for e in largest) / len(largest)
        whole = sum(e.served for e in found) / len(found)
        least = min(least, share / whole if whole else 0.0)
    return least
