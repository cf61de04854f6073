"""Plays a load with and without a part of the entries' decisions.

Run as a process of its own, as it puts the process on virtual time:

    python -m tests.bench.placement_comparison LOAD PART SEED
"""

import json
import sys

import msgspec

from zinniadyke import bench
from zinniadyke.bench import _placement
from zinniadyke.bench import _placement_load
from zinniadyke.bench import _virtual_time
from zinniadyke.gateway import _caller_wait


def without_waited() -> None:
    """Take each try of a caller for its first."""
    _caller_wait.CallerWaitEstimator.waited_s = (
        lambda self, route, deadline_s: 0.0
    )


PARTS = {"waited": without_waited}
SECONDS = 30.0


def play(name: str, seed: int) -> dict:
    (load,) = [one for one in _placement_load.LOADS if one.name == name]
    options = bench.PlacementOptions(seconds=SECONDS, seed=seed)
    run = _placement._Run(load=load, options=options)
    return msgspec.to_builtins(run.play())


def main(name: str, part: str, seed: str) -> None:
    _virtual_time.install()
    found = {"with": play(name, int(seed))}
    PARTS[part]()
    found["without"] = play(name, int(seed))
    print(json.dumps(found))


if __name__ == "__main__":
    main(*sys.argv[1:])
