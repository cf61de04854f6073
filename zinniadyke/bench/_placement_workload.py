"""The callers of the placement bench: kinds, sizes, workspaces, loads."""

import math
import random

import msgspec

from zinniadyke import ids


class RequestKind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of request, as the users' sheets describe them.

    Attributes
    ----------
    part
        Share of all requests.
    worth
        What an answer in time is worth.
    """

    name: str
    share: float
    prompt_tokens: int
    answer_tokens: int
    objective_s: float
    deadline_s: float
    priority: int
    worth: float


REQUEST_KINDS = (
    RequestKind(
        name="summary",
        share=0.4,
        prompt_tokens=1330,
        answer_tokens=144,
        objective_s=0.406,
        deadline_s=6.0,
        priority=1,
        worth=2.5,
    ),
    RequestKind(
        name="triage",
        share=0.28,
        prompt_tokens=827,
        answer_tokens=144,
        objective_s=0.405,
        deadline_s=6.0,
        priority=1,
        worth=2.1,
    ),
    RequestKind(
        name="translate",
        share=0.32,
        prompt_tokens=647,
        answer_tokens=72,
        objective_s=0.305,
        deadline_s=6.0,
        priority=1,
        worth=1.3,
    ),
)
MAX_GAP_S = 0.3
# Prompts differ by this factor up and down.
MAX_SIZE_FACTOR = 3.0
# Mean of that factor, whose logarithm is spread evenly.
MEAN_SIZE_FACTOR = (MAX_SIZE_FACTOR - 1 / MAX_SIZE_FACTOR) / (
    2 * math.log(MAX_SIZE_FACTOR)
)
WORKSPACE_COUNT = 10
# A few workspaces are large: each is so much smaller than the one before.
WORKSPACE_WEIGHT_DECAY = 0.7


class SimulatedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One caller's request."""

    at_s: float
    kind: RequestKind
    prompt_tokens: int
    workspace: ids.WorkspaceName


class LoadScenario(msgspec.Struct, frozen=True, kw_only=True):
    """A load and what happens meanwhile.

    Attributes
    ----------
    factor
        Offered load against the capacity of the targets at the start.
    burst_factor
        That load in the third fifth of the time.
    crashes
        Share of the targets that crash, one after the other, from a third
        of the time on.
    added
        Share of targets that are added at a third of the time.
    """

    name: str
    load_factor: float
    burst_load_factor: float | None = None
    crashed_share: float = 0.0
    added_share: float = 0.0


SCENARIOS = (
    LoadScenario(name="calm", load_factor=0.6),
    LoadScenario(name="heavy", load_factor=1.5),
    LoadScenario(name="burst", load_factor=0.6, burst_load_factor=3.0),
    LoadScenario(name="crashes", load_factor=0.8, crashed_share=0.34),
    LoadScenario(name="scaling", load_factor=1.4, added_share=0.67),
)


def mean_engine_time_s(
    slot_token_time_s: float, prefill_tokens_per_s: float
) -> float:
    """Return the time of a full engine that one mean request takes.

    Parameters
    ----------
    slot_s
        Time of a token in one of the engine's slots, in seconds.
    """
    return sum(
        k.share
        * (
            k.answer_tokens * slot_token_time_s
            + MEAN_SIZE_FACTOR * k.prompt_tokens / prefill_tokens_per_s
        )
        for k in REQUEST_KINDS
    )


def generate_requests(
    scenario: LoadScenario,
    capacity_per_s: float,
    duration_s: float,
    rng: random.Random,
) -> list[SimulatedRequest]:
    """Return the requests of a load, by time, as an open loop sends them."""
    simulated_requests = []
    at_s = 0.0
    weights = [WORKSPACE_WEIGHT_DECAY**n for n in range(WORKSPACE_COUNT)]
    while True:
        load_factor = scenario.load_factor
        if scenario.burst_load_factor and 0.4 <= at_s / duration_s < 0.6:
            load_factor = scenario.burst_load_factor
        at_s += rng.expovariate(load_factor * capacity_per_s)
        if at_s >= duration_s:
            return simulated_requests
        (kind,) = rng.choices(REQUEST_KINDS, [k.share for k in REQUEST_KINDS])
        (number,) = rng.choices(range(WORKSPACE_COUNT), weights)
        size_factor = MAX_SIZE_FACTOR ** rng.uniform(-1.0, 1.0)
        simulated_requests.append(
            SimulatedRequest(
                at_s=at_s,
                kind=kind,
                prompt_tokens=int(kind.prompt_tokens * size_factor),
                workspace=ids.WorkspaceName(f"w{number}"),
            )
        )
