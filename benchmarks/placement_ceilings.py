"""Compares the paper's soft-reflective ceiling with none, on virtual time.

Kinds of request get ranks of their own (0 first). With the ceiling, a request
of rank i of N gets a place only while the part of the places in use is below
1 - i * saturation / (N - 1). Prints one JSON line a load and way: the share
that was answered in time, and served at all, by kind, means over the seeds.

    python benchmarks/placement_ceilings.py --seeds 4
"""

import argparse
import json
import statistics

import msgspec

from zinniadyke import bench
from zinniadyke.bench import _placement
from zinniadyke.bench import _placement_load
from zinniadyke.bench import _virtual_time
from zinniadyke.gateway import admission

SECONDS = 30.0
RANKED = tuple(
    msgspec.structs.replace(kind, priority=rank)
    for rank, kind in enumerate(_placement_load.KINDS)
)


def saturation(entry: admission.Admission) -> float:
    """Return the part of the places in use, as an entry sees it."""
    known = entry.target_table.available_targets(entry.service)
    places = sum(state.request_capacity for state in known)
    if not places:
        return 1.0
    return min(1.0, sum(state.load for state in known) / places)


def reflect(choose):
    """Return the choice of a target under the soft-reflective ceiling."""

    def choose_below(self, call):
        used = saturation(self)
        ceiling = 1.0 - call.priority * used / (len(RANKED) - 1)
        if call.priority and used >= ceiling:
            return None
        return choose(self, call)

    return choose_below


def play(load: _placement_load.Load, seed: int) -> dict:
    """Return what the callers of one load got."""
    options = bench.PlacementOptions(seconds=SECONDS, seed=seed)
    run = _placement._Run(load=load, options=options)
    row = run.play()
    in_time = {
        kind.name: statistics.mean(
            end.in_time for end in run.ends if end.ask.kind.name == kind.name
        )
        for kind in RANKED
    }
    return {"served": row.served_by_kind, "in_time": in_time} | {
        "worth": {"all": row.worth}
    }


def mean(rows: list[dict]) -> dict:
    """Return the means of figures that are named alike."""
    return {
        part: {
            name: round(statistics.mean(r[part][name] for r in rows), 3)
            for name in rows[0][part]
        }
        for part in rows[0]
    }


def main() -> None:
    """Play all loads both ways."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    seeds = range(1, parser.parse_args().seeds + 1)
    _virtual_time.install()
    _placement_load.KINDS = RANKED
    plain = admission.Admission._choose_target
    for name, way in (("none", plain), ("reflective", reflect(plain))):
        admission.Admission._choose_target = way
        for load in _placement_load.LOADS:
            found = mean([play(load, seed) for seed in seeds])
            print(json.dumps({"ceiling": name, "load": load.name} | found))


if __name__ == "__main__":
    main()
