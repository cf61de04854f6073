"""Workload of the placement benchmark: kinds, sizes and scenarios."""

import math
import random

import msgspec

from zinniadyke import ids


class RequestKind(msgspec.Struct, frozen=True, kw_only=True):
    """Kind of request, as specified by the users.

    Attributes
    ----------
    share
        Share of all requests.
    worth
        Value of an answer in time.
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
# Prompts are up to this factor larger or smaller than their kind states.
MAX_SIZE_FACTOR = 3.0
# Mean of the size factor; its logarithm is uniformly distributed.
MEAN_SIZE_FACTOR = (MAX_SIZE_FACTOR - 1 / MAX_SIZE_FACTOR) / (
    2 * math.log(MAX_SIZE_FACTOR)
)
WORKSPACE_COUNT = 10
# Each workspace sends this fraction of the requests of the one before it, so
# a few workspaces are large.
WORKSPACE_WEIGHT_DECAY = 0.7


class SimulatedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a simulated caller.

    Attributes
    ----------
    at_s
        Send time, in seconds from the start of the scenario.
    """

    at_s: float
    kind: RequestKind
    prompt_tokens: int
    workspace: ids.WorkspaceName


class LoadScenario(msgspec.Struct, frozen=True, kw_only=True):
    """Offered load and changes to the fleet.

    Attributes
    ----------
    load_factor
        Offered load relative to the initial capacity of the targets.
    burst_load_factor
        Load factor during the third fifth of the scenario.
    crashed_share
        Share of the targets that crash, one after the other, starting after
        a third of the scenario.
    added_share
        Share of targets that are added after a third of the scenario.
    kinds
        Kinds of requests; empty for ``REQUEST_KINDS``.
    """

    name: str
    load_factor: float
    burst_load_factor: float | None = None
    crashed_share: float = 0.0
    added_share: float = 0.0
    kinds: tuple[RequestKind, ...] = ()


SCENARIOS = (
    LoadScenario(name="calm", load_factor=0.6),
    LoadScenario(name="heavy", load_factor=1.5),
    LoadScenario(name="burst", load_factor=0.6, burst_load_factor=3.0),
    LoadScenario(name="crashes", load_factor=0.8, crashed_share=0.34),
    LoadScenario(name="scaling", load_factor=1.4, added_share=0.67),
)


def mean_engine_time_s(
    engine_time_per_token_s: float,
    prefill_tokens_per_s: float,
    kinds: tuple[RequestKind, ...] = (),
) -> float:
    """Return the mean engine time per request, with all slots in use.

    Parameters
    ----------
    engine_time_per_token_s
        Step time divided by the number of slots, in seconds: a step
        generates one token in each slot.
    """
    return sum(
        k.share
        * (
            k.answer_tokens * engine_time_per_token_s
            + MEAN_SIZE_FACTOR * k.prompt_tokens / prefill_tokens_per_s
        )
        for k in kinds or REQUEST_KINDS
    )


def generate_requests(
    scenario: LoadScenario,
    capacity_per_s: float,
    duration_s: float,
    rng: random.Random,
) -> list[SimulatedRequest]:
    """Return the open-loop requests of a scenario, ordered by time."""
    simulated_requests = []
    kinds = scenario.kinds or REQUEST_KINDS
    at_s = 0.0
    weights = [WORKSPACE_WEIGHT_DECAY**n for n in range(WORKSPACE_COUNT)]
    while True:
        load_factor = scenario.load_factor
        if scenario.burst_load_factor and 0.4 <= at_s / duration_s < 0.6:
            load_factor = scenario.burst_load_factor
        at_s += rng.expovariate(load_factor * capacity_per_s)
        if at_s >= duration_s:
            return simulated_requests
        (kind,) = rng.choices(kinds, [k.share for k in kinds])
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
