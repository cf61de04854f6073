import json
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[2]
SCENARIOS = {"calm", "heavy", "burst", "crashes", "scaling"}


def run(*arguments):
    """Run a separate process, as virtual time affects the whole process."""
    return subprocess.run(
        [sys.executable, "-W", "ignore", "-m", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )


def bench(seed):
    return run("zinniadyke", "bench", "placement", "--seed", str(seed))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_bounds_hold_in_all_scenarios(seed):
    process = bench(seed)
    assert process.returncode == 0, process.stderr
    assert {r["load"] for r in json.loads(process.stdout)["rows"]} == SCENARIOS


def test_same_seed_gives_the_same_figures():
    assert bench(4).stdout == bench(4).stdout


@pytest.mark.parametrize("load", ["heavy", "crashes"])
def test_wait_estimate_raises_share_answered_in_time(load):
    """The wait estimate adds answers in time and hardly lowers goodput."""
    gains = []
    for seed in ("1", "2"):
        process = run("tests.bench.placement_comparison", load, "waited", seed)
        assert process.returncode == 0, process.stderr
        rows = json.loads(process.stdout)
        enabled, disabled = rows["with"], rows["without"]
        assert enabled["goodput"] > disabled["goodput"] - 0.02
        gains.append(enabled["in_time"] - disabled["in_time"])
    assert sum(gains) > 0


def test_predicted_time_answers_more_in_time_on_shared_hosts():
    """The prediction is only worth its cost while it beats the counts."""
    process = run(
        *("zinniadyke", "bench", "placement"),
        *("--load", "shared hosts", "--seconds", "6"),
    )
    assert process.returncode == 0, process.stderr
    rows = [json.loads(line) for line in process.stdout.splitlines()]
    in_time = {
        r["method"]: r["in_time"] for r in rows if r["load_factor"] == 0.6
    }
    assert in_time["predicted time"] > in_time["count x slowness"]
    assert in_time["predicted time"] > in_time["count"]
