import json
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[2]
LOADS = {"calm", "heavy", "burst", "crashes", "scaling"}


def run(*words):
    """Run a process of its own: virtual time takes a whole one."""
    return subprocess.run(
        [sys.executable, "-W", "ignore", "-m", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )


def bench(seed):
    return run("zinniadyke", "bench", "placement", "--seed", str(seed))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_stated_bounds_hold_on_all_loads(seed):
    found = bench(seed)
    assert found.returncode == 0, found.stderr
    assert {r["load"] for r in json.loads(found.stdout)["rows"]} == LOADS


def test_same_seed_gives_the_same_figures():
    assert bench(4).stdout == bench(4).stdout


@pytest.mark.parametrize("load", ["heavy", "crashes"])
def test_callers_that_waited_leave_places_to_those_in_time(load):
    """More are answered in time, and hardly fewer are served at all."""
    gains = []
    for seed in ("1", "2"):
        found = run("tests.bench.placement_comparison", load, "waited", seed)
        assert found.returncode == 0, found.stderr
        rows = json.loads(found.stdout)
        with_it, without = rows["with"], rows["without"]
        assert with_it["goodput"] > without["goodput"] - 0.02
        gains.append(with_it["in_time"] - without["in_time"])
    assert sum(gains) > 0
