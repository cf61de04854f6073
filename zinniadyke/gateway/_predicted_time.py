"""Predicts how long targets take for requests, without I/O.

Times are in seconds on a host of the given slowness; 1 is usual.
"""

import math

from zinniadyke import directory
from zinniadyke.gateway import _request_work


def first_event_s(
    work: _request_work.RequestWork,
    *,
    running: float,
    pending: float,
    slowness: float,
) -> float:
    """Return the predicted time to the first event of an engine's answer.

    It is the rest of the pass in progress, the prefill of the requests that
    have not begun and of this one, the passes in which that happens, and the
    wait for a slot where none is free.

    Load: hosts that turn slow, and prompts of others that arrive with this
    one.

    Parameters
    ----------
    running
        Requests for which the engine generates tokens.
    pending
        Requests ahead of this one whose prompts are not processed yet.
    """
    engine = work.engine
    duration_s = pass_s(engine, running)
    ahead_tokens = pending * engine.mean_prompt_tokens
    passes = math.ceil(
        (ahead_tokens + work.prompt_tokens)
        / (engine.prefill_chunk_tokens * max(engine.steps_per_pass, 1))
    )
    rest_s = duration_s / 2 if running else 0.0
    return slowness * (
        rest_s
        + max(passes, 1) * duration_s
        + pending * prefill_s(engine, engine.mean_prompt_tokens)
        + prefill_s(engine, work.prompt_tokens)
        + slot_wait_s(engine, running, pending)
    )


def slot_wait_s(
    engine: directory.EngineProfile, running: float, pending: float
) -> float:
    """Return the time until a slot is free, in seconds."""
    ended = running + pending + 1 - engine.slots
    if ended <= 0:
        return 0.0
    passes = engine.mean_answer_tokens / max(engine.steps_per_pass, 1)
    return ended * passes * pass_s(engine, engine.slots) / engine.slots


def pass_s(engine: directory.EngineProfile, running: float) -> float:
    """Return the time of a pass without prefill, in seconds."""
    context_tokens = running * (
        engine.mean_prompt_tokens + engine.mean_answer_tokens / 2
    )
    return max(engine.steps_per_pass, 1) * (
        engine.step_s
        + engine.step_per_request_s * running
        + engine.step_per_context_token_s * context_tokens
    )


def prefill_s(engine: directory.EngineProfile, tokens: float) -> float:
    """Return the time that processing a prompt adds, in seconds."""
    if engine.prefill_tokens_per_s <= 0:
        return 0.0
    return (
        tokens / engine.prefill_tokens_per_s
        + engine.prefill_pair_s * tokens * tokens / 2
    )
