"""Compares placement methods on hosts that turn slow, on virtual time."""

from collections.abc import Callable
from collections.abc import Iterator
import random

import msgspec

from zinniadyke.bench import _placement
from zinniadyke.bench import _placement_fleet
from zinniadyke.bench import _placement_workload
from zinniadyke.bench import _shared_host
from zinniadyke.bench import _virtual_time
from zinniadyke import directory
from zinniadyke.gateway import _placement as gateway_placement
from zinniadyke.gateway import admission

SHARED_HOSTS = "shared hosts"
LOAD_FACTORS = (0.6, 1.0, 1.4)
ARRIVALS_PER_S = {"a": 148.0, "b": 102.0, "c": 125.0}
PROMPT_TOKENS = {"a": 1330, "b": 827, "c": 647}
ANSWER_TOKENS = {"a": 147, "b": 147, "c": 70}
KINDS = tuple(
    _placement_workload.RequestKind(
        name=name,
        share=rate / sum(ARRIVALS_PER_S.values()),
        prompt_tokens=PROMPT_TOKENS[name],
        answer_tokens=ANSWER_TOKENS[name],
        objective_s=0.4,
        deadline_s=6.0,
        priority=1,
        worth=1.0,
    )
    for name, rate in ARRIVALS_PER_S.items()
)
PROFILE = directory.EngineProfile(
    slots=12,
    kv_cache_tokens=1_640_000,
    step_s=0.00673,
    step_per_request_s=0.0000219,
    step_per_context_token_s=0.0000000068,
    prefill_tokens_per_s=30_600.0,
    prefill_pair_s=0.0,
    steps_per_pass=7,
    models=(_placement_fleet.MODEL,),
    layers=1,
    chunks=64,
    chunk_bytes=32768,
    mean_prompt_tokens=965,
    mean_answer_tokens=121,
)
ENTRY_COUNT = 6
TARGET_COUNT = 26

# Takes the place of ``_placement.slowness_load``.
Method = Callable[[admission.RequestWork], gateway_placement.SlownessLoad]


def count(work: admission.RequestWork) -> gateway_placement.SlownessLoad:
    """Ignore the slowness."""
    return lambda state, load, slowness: 0.0


def count_times_slowness(
    work: admission.RequestWork,
) -> gateway_placement.SlownessLoad:
    """Multiply the count, with this request, by the slowness."""
    return lambda state, load, slowness: (load + 1) * (slowness - 1.0)


METHODS: dict[str, Method] = {
    "count": count,
    "count x slowness": count_times_slowness,
    "predicted time": gateway_placement.slowness_load,
}


class SharedHostsRow(msgspec.Struct, frozen=True, kw_only=True):
    """Shares of the requests by what their callers got.

    Attributes
    ----------
    in_time
        First event within the objective, and no gap that is too long.
    late
        Complete before the deadline, but not in time.
    """

    load_factor: float
    method: str
    seed: int
    in_time: float
    late: float
    refused: float
    failed: float


def run_shared_hosts(
    options: _placement.PlacementOptions,
) -> Iterator[SharedHostsRow]:
    """Simulate all methods; the process remains on virtual time."""
    _virtual_time.install()
    for load_factor in LOAD_FACTORS:
        for name in METHODS:
            yield _simulate(load_factor, name, options)


def _simulate(
    load_factor: float, name: str, options: _placement.PlacementOptions
) -> SharedHostsRow:
    scenario = _placement_workload.LoadScenario(
        # Part of the seed: all methods get the same requests.
        name=f"{SHARED_HOSTS} {load_factor}",
        load_factor=load_factor,
        kinds=KINDS,
    )
    chosen = gateway_placement.slowness_load
    gateway_placement.slowness_load = METHODS[name]
    try:
        row = _placement.ScenarioRun(
            scenario=scenario,
            options=options,
            make_fleet=_make_fleet,
        ).simulate()
    finally:
        gateway_placement.slowness_load = chosen
    return SharedHostsRow(
        load_factor=load_factor,
        method=name,
        seed=options.seed,
        in_time=round(row.in_time, 4),
        late=round(row.late, 4),
        refused=round(row.refused, 4),
        failed=round(row.failed, 4),
    )


def _make_fleet(rng: random.Random) -> _placement_fleet.Fleet:
    # Hosts draw from a generator of their own, so that they turn slow at the
    # same moments whatever the method.
    hosts_rng = random.Random(rng.random())
    return _placement_fleet.Fleet(
        rng=rng,
        shape=_placement_fleet.FleetShape(
            profile=PROFILE,
            entry_count=ENTRY_COUNT,
            target_count=TARGET_COUNT,
            kinds=KINDS,
            mean_speed=_shared_host.MEAN_SPEED,
        ),
        make_host=lambda: _shared_host.SharedHost(
            rng=random.Random(hosts_rng.random())
        ),
    )
