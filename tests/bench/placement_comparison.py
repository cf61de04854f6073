"""Simulates a load scenario with and without a feature of admission.

Run it in its own process, as it switches the process to virtual time:

    python -m tests.bench.placement_comparison SCENARIO FEATURE SEED
"""

import json
import sys

import msgspec

from zinniadyke import bench
from zinniadyke.bench import _placement
from zinniadyke.bench import _placement_workload
from zinniadyke.bench import _virtual_time
from zinniadyke.gateway import _caller_wait


def disable_wait_estimate() -> None:
    """Treat each try of a caller as its first."""
    _caller_wait.CallerWaitEstimator.waited_s = (
        lambda self, route, deadline_s: 0.0
    )


FEATURE_DISABLERS = {"waited": disable_wait_estimate}
DURATION_S = 30.0


def simulate(name: str, seed: int) -> dict:
    (scenario,) = [
        candidate
        for candidate in _placement_workload.SCENARIOS
        if candidate.name == name
    ]
    options = bench.PlacementOptions(seconds=DURATION_S, seed=seed)
    run = _placement.ScenarioRun(scenario=scenario, options=options)
    return msgspec.to_builtins(run.simulate())


def main(name: str, feature: str, seed: str) -> None:
    _virtual_time.install()
    rows = {"with": simulate(name, int(seed))}
    FEATURE_DISABLERS[feature]()
    rows["without"] = simulate(name, int(seed))
    print(json.dumps(rows))


if __name__ == "__main__":
    main(*sys.argv[1:])
