"""The callers of the placement bench: kinds, sizes, workspaces, loads."""

import math
import random

import msgspec

from zinniadyke import ids


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of request, as the users' sheets describe them.

    Attributes
    ----------
    part
        Share of all requests.
    worth
        What an answer in time is worth.
    """

    name: str
    part: float
    prompt: int
    tokens: int
    objective_s: float
    deadline_s: float
    priority: int
    worth: float


KINDS = (
    Kind(
        name="summary",
        part=0.4,
        prompt=1330,
        tokens=144,
        objective_s=0.406,
        deadline_s=6.0,
        priority=1,
        worth=2.5,
    ),
    Kind(
        name="triage",
        part=0.28,
        prompt=827,
        tokens=144,
        objective_s=0.405,
        deadline_s=6.0,
        priority=1,
        worth=2.1,
    ),
    Kind(
        name="translate",
        part=0.32,
        prompt=647,
        tokens=72,
        objective_s=0.305,
        deadline_s=6.0,
        priority=1,
        worth=1.3,
    ),
)
MAX_GAP_S = 0.3
# Prompts differ by this factor up and down.
SIZE_SPREAD = 3.0
# Mean of that factor, whose logarithm is spread evenly.
MEAN_SIZE = (SIZE_SPREAD - 1 / SIZE_SPREAD) / (2 * math.log(SIZE_SPREAD))
WORKSPACES = 10
# A few workspaces are large: each is so much smaller than the one before.
WORKSPACE_DECAY = 0.7


class Ask(msgspec.Struct, frozen=True, kw_only=True):
    """One caller's request."""

    at_s: float
    kind: Kind
    prompt: int
    workspace: ids.WorkspaceName


class Load(msgspec.Struct, frozen=True, kw_only=True):
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
    factor: float
    burst_factor: float | None = None
    crashes: float = 0.0
    added: float = 0.0


LOADS = (
    Load(name="calm", factor=0.6),
    Load(name="heavy", factor=1.5),
    Load(name="burst", factor=0.6, burst_factor=3.0),
    Load(name="crashes", factor=0.8, crashes=0.34),
    Load(name="scaling", factor=1.4, added=0.67),
)


def mean_cost_s(slot_s: float, prefill_tokens_per_s: float) -> float:
    """Return the time of a full engine that one mean request takes.

    Parameters
    ----------
    slot_s
        Time of a token in one of the engine's slots, in seconds.
    """
    return sum(
        k.part
        * (k.tokens * slot_s + MEAN_SIZE * k.prompt / prefill_tokens_per_s)
        for k in KINDS
    )


def asks(
    load: Load, capacity_per_s: float, seconds: float, rng: random.Random
) -> list[Ask]:
    """Return the requests of a load, by time, as an open loop sends them."""
    found = []
    at_s = 0.0
    weights = [WORKSPACE_DECAY**n for n in range(WORKSPACES)]
    while True:
        factor = load.factor
        if load.burst_factor and 0.4 <= at_s / seconds < 0.6:
            factor = load.burst_factor
        at_s += rng.expovariate(factor * capacity_per_s)
        if at_s >= seconds:
            return found
        (kind,) = rng.choices(KINDS, [k.part for k in KINDS])
        (number,) = rng.choices(range(WORKSPACES), weights)
        size = SIZE_SPREAD ** rng.uniform(-1.0, 1.0)
        found.append(
            Ask(
                at_s=at_s,
                kind=kind,
                prompt=int(kind.prompt * size),
                workspace=ids.WorkspaceName(f"w{number}"),
            )
        )
