"""Compares the soft-reflective ceiling with none, on virtual time.

The ceiling is the one of "From Simulation to Production Part II". Each kind
of request gets its own rank (0 first). With the ceiling, a request of rank i
of N gets a slot only while the share of slots in use is below
1 - i * saturation / (N - 1). Prints one JSON line per ceiling and scenario:
the shares of requests answered in time and served at all, by kind, as means
over the seeds.

    python benchmarks/placement_ceilings.py --seeds 4
"""

import argparse
import json
import statistics

import msgspec

from zinniadyke import bench
from zinniadyke.bench import _placement
from zinniadyke.bench import _placement_workload
from zinniadyke.bench import _virtual_time
from zinniadyke.gateway import admission

SECONDS = 30.0
RANKED_KINDS = tuple(
    msgspec.structs.replace(kind, priority=rank)
    for rank, kind in enumerate(_placement_workload.REQUEST_KINDS)
)


def saturation(entry: admission.Admission) -> float:
    """Return the share of slots in use, as seen by an entry."""
    targets = entry.target_table.available_targets(entry.service)
    capacity = sum(state.request_capacity for state in targets)
    if not capacity:
        return 1.0
    return min(1.0, sum(state.load for state in targets) / capacity)


def apply_ceiling(choose_target):
    """Wrap the choice of a target with the soft-reflective ceiling."""

    def choose_below(self, call):
        used = saturation(self)
        ceiling = 1.0 - call.priority * used / (len(RANKED_KINDS) - 1)
        if call.priority and used >= ceiling:
            return None
        return choose_target(self, call)

    return choose_below


def simulate(scenario: _placement_workload.LoadScenario, seed: int) -> dict:
    """Return the results of one scenario."""
    options = bench.PlacementOptions(seconds=SECONDS, seed=seed)
    run = _placement.ScenarioRun(scenario=scenario, options=options)
    row = run.simulate()
    in_time = {
        kind.name: statistics.mean(
            outcome.in_time
            for outcome in run.outcomes
            if outcome.simulated_request.kind.name == kind.name
        )
        for kind in RANKED_KINDS
    }
    return {"served": row.served_by_kind, "in_time": in_time} | {
        "worth": {"all": row.worth}
    }


def mean(rows: list[dict]) -> dict:
    """Return the mean of each figure over all rows."""
    return {
        part: {
            name: round(statistics.mean(r[part][name] for r in rows), 3)
            for name in rows[0][part]
        }
        for part in rows[0]
    }


def main() -> None:
    """Simulate all scenarios with and without the ceiling."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    seeds = range(1, parser.parse_args().seeds + 1)
    _virtual_time.install()
    _placement_workload.REQUEST_KINDS = RANKED_KINDS
    choose_without_ceiling = admission.Admission._choose_target
    for name, method in (
        ("none", choose_without_ceiling),
        ("reflective", apply_ceiling(choose_without_ceiling)),
    ):
        admission.Admission._choose_target = method
        for scenario in _placement_workload.SCENARIOS:
            means = mean([simulate(scenario, seed) for seed in seeds])
            print(json.dumps({"ceiling": name, "load": scenario.name} | means))


if __name__ == "__main__":
    main()
