"""Benchmark of classes of different urgency, by method of admission."""

import msgspec

from zinniadyke.bench import _bound
from zinniadyke.bench import _classes_workload
from zinniadyke.bench import _placement
from zinniadyke.bench import _placement_fleet
from zinniadyke.bench import _placement_row
from zinniadyke.bench import _placement_workload
from zinniadyke.bench import _virtual_time

# A class must not be served less often than a less urgent one by more.
MAX_INVERSION = 0.05
MIN_SERVED_RATIO_TO_ALL = _placement_row.MIN_SERVED_RATIO_TO_ALL
SCENARIO = _placement_workload.LoadScenario(name="classes", load_factor=1.0)
# All workspaces state the same priority.
WORKSPACE_PRIORITY = 1


class ClassShares(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a class's requests, as shares; they add up to 1."""

    asked: int
    in_time: float
    late: float
    refused: float
    failed: float

    @property
    def served(self) -> float:
        """Share that was answered before the deadline."""
        return self.in_time + self.late


class ClassesRow(msgspec.Struct, kw_only=True):
    """Results of one method with one seed.

    Attributes
    ----------
    uneven
        Whether a few entries get most of the requests.
    classes
        Shares by priority of the route.
    """

    method: str
    uneven: bool
    seed: int
    classes: dict[int, ClassShares]
    total: ClassShares

    def bounds(self) -> list[_bound.Bound]:
        """Return the required limits and the measured values."""
        name = f"{self.method}, {'uneven' if self.uneven else 'even'}"
        served = {p: s.served for p, s in self.classes.items()}
        return [
            _bound.Bound(
                name=f"{name}: served less often than a less urgent class",
                limit=MAX_INVERSION,
                value=max(
                    served[low] - served[high]
                    for low in served
                    for high in served
                    if high < low
                ),
            ),
            _bound.Bound(
                name=f"{name}: worst served class, lost",
                limit=1 - MIN_SERVED_RATIO_TO_ALL,
                value=1 - min(served.values()) / self.total.served,
            ),
        ]


class ClassesResult(msgspec.Struct, kw_only=True):
    """One row for each method and distribution of requests."""

    rows: list[ClassesRow]

    def bounds(self) -> list[_bound.Bound]:
        """Return the bounds of the method that is in use."""
        return [
            bound
            for row in self.rows
            if row.method == METHOD_IN_USE
            for bound in row.bounds()
        ]


class _ClassesRun(_placement.ScenarioRun):
    """Simulation of the classes on one fleet."""

    def __init__(
        self,
        *,
        options: _placement.PlacementOptions,
        uneven: bool,
        shape: _placement_fleet.FleetShape,
    ) -> None:
        super().__init__(
            scenario=SCENARIO,
            options=options,
            make_fleet=lambda rng: _placement_fleet.Fleet(
                rng=rng, shape=shape
            ),
        )
        self.uneven = uneven

    def choose_entry(
        self, simulated_request: _placement_workload.SimulatedRequest
    ) -> int:
        return _classes_workload.choose_entry(
            simulated_request.kind.priority, uneven=self.uneven, rng=self.rng
        )


_SHAPE = _placement_fleet.FleetShape(
    entry_count=_classes_workload.ENTRY_COUNT,
    target_count=_classes_workload.TARGET_COUNT,
    profile=_classes_workload.PROFILE,
    workspace_priority=WORKSPACE_PRIORITY,
    same_route=False,
)
METHOD_IN_USE = "shares"
# present: the workspace's priority replaces the route's. weights: only the
# weights of fair queueing differ. order: strict order of the waiting.
METHODS = {
    "present": msgspec.structs.replace(_SHAPE, same_route=True),
    "weights": msgspec.structs.replace(
        _SHAPE, same_route=True, workspace_priority=None
    ),
    "order": _SHAPE,
    "reservation": msgspec.structs.replace(_SHAPE, reports_demand=True),
    METHOD_IN_USE: msgspec.structs.replace(
        _SHAPE, reports_demand=True, shares_by_demand=True
    ),
}


def run_classes(
    options: _placement.PlacementOptions, methods: list[str]
) -> ClassesResult:
    """Simulate some methods; the process remains on virtual time."""
    _virtual_time.install()
    return ClassesResult(
        rows=[
            _simulate(method, options, uneven=uneven)
            for uneven in (False, True)
            for method in methods
        ]
    )


def _simulate(
    method: str, options: _placement.PlacementOptions, *, uneven: bool
) -> ClassesRow:
    run = _ClassesRun(options=options, uneven=uneven, shape=METHODS[method])
    run.play(_classes_workload.generate_requests(options.seconds, run.rng))
    by_class: dict[int, list[_placement_row.RequestOutcome]] = {}
    for outcome in run.outcomes:
        priority = outcome.simulated_request.kind.priority
        by_class.setdefault(priority, []).append(outcome)
    return ClassesRow(
        method=method,
        uneven=uneven,
        seed=options.seed,
        classes={p: _shares(found) for p, found in sorted(by_class.items())},
        total=_shares(run.outcomes),
    )


def _shares(outcomes: list[_placement_row.RequestOutcome]) -> ClassShares:
    asked = len(outcomes)
    served = sum(o.served for o in outcomes)
    in_time = sum(o.in_time for o in outcomes)
    refused = sum(not o.answer_tokens and o.refusals > 0 for o in outcomes)
    return ClassShares(
        asked=asked,
        in_time=round(in_time / asked, 4),
        late=round((served - in_time) / asked, 4),
        refused=round(refused / asked, 4),
        failed=round((asked - served - refused) / asked, 4),
    )
