"""Workload of classes of different urgency that compete on engines.

The figures are those of a deployment of 14 entries and 17 engines whose
classes exceed the engines' capacity, more so in a burst of the least urgent.
"""

import random

import msgspec

from zinniadyke.bench import _placement_workload
from zinniadyke import directory
from zinniadyke import ids

ENTRY_COUNT = 14
TARGET_COUNT = 17
WORKSPACE_COUNT = 24
# The burst is the third fifth of the run.
BURST_START_SHARE = 0.4
BURST_END_SHARE = 0.6
# In the uneven load, these entries get this share of each class's requests,
# by rank of the class.
BUSY_ENTRIES = range(4)
BUSY_SHARES = (0.7, 0.5, 0.3)
PROFILE = directory.EngineProfile(
    slots=12,
    kv_cache_tokens=1_640_000,
    step_s=0.00927,
    step_per_request_s=0.0000232,
    step_per_context_token_s=0.0000000322,
    prefill_tokens_per_s=20_700.0,
    prefill_pair_s=0.0,
    steps_per_pass=5,
    models=(ids.ModelName("m"),),
    layers=1,
    chunks=64,
    chunk_bytes=32768,
    mean_prompt_tokens=953,
    mean_answer_tokens=97,
)


class RequestClass(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one route.

    Attributes
    ----------
    arrivals_per_s
        At the usual load, at all entries together.
    burst_factor
        Factor on the arrivals during the burst.
    """

    kind: _placement_workload.RequestKind
    arrivals_per_s: float
    burst_factor: float = 1.0


def _request_class(
    name: str,
    priority: int,
    objective_s: float,
    prompt_tokens: int,
    answer_tokens: int,
    arrivals_per_s: float,
    burst_factor: float = 1.0,
) -> RequestClass:
    return RequestClass(
        kind=_placement_workload.RequestKind(
            name=name,
            share=0.0,
            prompt_tokens=prompt_tokens,
            answer_tokens=answer_tokens,
            objective_s=objective_s,
            deadline_s=6.0,
            priority=priority,
            worth=1.0,
        ),
        arrivals_per_s=arrivals_per_s,
        burst_factor=burst_factor,
    )


CLASSES = (
    _request_class("plans", 2, 1.0, 1330, 105, 61.6, burst_factor=2.4),
    _request_class("questions", 0, 0.4, 827, 105, 78.7),
    _request_class("digests", 1, 0.4, 647, 70, 43.4),
)


def generate_requests(
    duration_s: float, rng: random.Random
) -> list[_placement_workload.SimulatedRequest]:
    """Return the open-loop requests of all classes, ordered by time."""
    simulated_requests = []
    for request_class in CLASSES:
        kind = request_class.kind
        at_s = 0.0
        while True:
            per_s = request_class.arrivals_per_s
            part = at_s / duration_s
            if BURST_START_SHARE <= part < BURST_END_SHARE:
                per_s *= request_class.burst_factor
            at_s += rng.expovariate(per_s)
            if at_s >= duration_s:
                break
            size_factor = _placement_workload.MAX_SIZE_FACTOR ** rng.uniform(
                -1.0, 1.0
            )
            # The mean over all prompts is the class's figure.
            size_factor /= _placement_workload.MEAN_SIZE_FACTOR
            simulated_requests.append(
                _placement_workload.SimulatedRequest(
                    at_s=at_s,
                    kind=kind,
                    prompt_tokens=int(kind.prompt_tokens * size_factor),
                    workspace=ids.WorkspaceName(
                        f"w{rng.randrange(WORKSPACE_COUNT)}"
                    ),
                )
            )
    return sorted(simulated_requests, key=lambda r: r.at_s)


def choose_entry(priority: int, *, uneven: bool, rng: random.Random) -> int:
    """Return the entry of a request; each is as likely if not uneven."""
    if uneven and rng.random() < BUSY_SHARES[priority]:
        return rng.choice(BUSY_ENTRIES)
    return rng.randrange(ENTRY_COUNT)
