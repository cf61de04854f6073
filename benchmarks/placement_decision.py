"""Measures the processor time of a placement decision.

Compares the code with that of another checkout, in alternating rounds of
separate processes. Prints one JSON line per case: the medians over the
rounds in microseconds, the median of the ratios of each pair, and the ratio
of the lowest times.

    python benchmarks/placement_decision.py --base /path/to/other/checkout
"""

import argparse
import json
import os
import pathlib
import statistics
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).parents[1]
# A service of 2,100 targets, of which an entry uses 36 if they have engines.
TARGET_COUNTS = (17, 36, 2100)
# Decisions of a measurement, in total over its targets.
CANDIDATES_PER_MEASUREMENT = 300_000


def measure(target_count: int, figures: bool) -> float:
    """Return the processor time of a decision, in microseconds."""
    from zinniadyke.bench import _placement_fleet
    from zinniadyke import directory
    from zinniadyke.gateway import _placement
    from zinniadyke.gateway import _target_state

    states = []
    for number in range(target_count):
        state = _target_state.TargetState(
            target=directory.Target(
                id=f"t{number}",
                service="s",
                address=f"t{number}:1",
                zone="z",
                slots=16,
                leaving=False,
                born_ms=1,
                weights={},
            )
        )
        state.record_load(number % 12, 0)
        state.agent_reported_at = time.monotonic()
        if figures:
            state.record_slowness(1.0 + number % 3)
            state.record_memory(number, 1_640_000, 1)
            state.record_sent(1500)
        states.append(state)
    arguments = {"mean_response_s": 1.0}
    if figures:
        from zinniadyke.gateway import _request_work

        arguments["work"] = _request_work.RequestWork(
            engine=_placement_fleet.PROFILE,
            prompt_tokens=1000,
            answer_tokens=100,
            max_answer_tokens=400,
        )
    decisions = CANDIDATES_PER_MEASUREMENT // target_count
    started = time.process_time()
    for _ in range(decisions):
        _placement.choose_target(
            states,
            lambda zone: 0.0,
            lambda state: state.free_slots > 0,
            **arguments,
        )
    return (time.process_time() - started) / decisions * 1e6


def run(checkout: str, target_count: int, figures: bool) -> float:
    """Measure in a process that uses the code of a checkout."""
    process = subprocess.run(
        [
            *(sys.executable, "-W", "ignore", __file__, "--measure"),
            *(str(target_count), str(int(figures))),
        ],
        env=os.environ | {"PYTHONPATH": checkout},
        capture_output=True,
        text=True,
        check=True,
    )
    return float(process.stdout)


def main() -> None:
    """Measure all cases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--base", type=pathlib.Path)
    parser.add_argument("--rounds", type=int, default=21)
    parser.add_argument("--measure", nargs=2, type=int)
    options = parser.parse_args()
    if options.measure:
        print(measure(options.measure[0], bool(options.measure[1])))
        return
    for target_count in TARGET_COUNTS:
        base, without, figures = [], [], []
        pair = [(base, str(options.base)), (without, str(ROOT))]
        for _ in range(options.rounds):
            # Neither is always measured first.
            pair.reverse()
            for times_us, checkout in pair:
                times_us.append(run(checkout, target_count, False))
            figures.append(run(str(ROOT), target_count, True))
        ratios = [n / b for n, b in zip(without, base, strict=True)]
        # Other processes of the machine only ever add to the time.
        lowest_ratio = min(without) / min(base)
        row = {
            "targets": target_count,
            "base_us": statistics.median(base),
            "without_figures_us": statistics.median(without),
            "with_figures_us": statistics.median(figures),
            "ratio_without_figures": statistics.median(ratios),
            "ratio_of_lowest": lowest_ratio,
        }
        print(json.dumps({k: round(v, 3) for k, v in row.items()}))


if __name__ == "__main__":
    main()
