"""Predicts how long engines take for requests, without I/O.

Times are in seconds. Slowness is the factor by which work takes longer than
usual.
"""

from collections.abc import Callable
import math

from zinniadyke import directory
from zinniadyke.gateway import _request_work

# Predicts from the requests that generate tokens, the requests ahead whose
# prompts are not processed yet, and the slowness.
Predictor = Callable[[float, float, float], float]


def predict_first_event(work: _request_work.RequestWork) -> Predictor:
    """Return what predicts the time to the first event of an answer.

    It is the rest of the pass in progress, the prefill of the requests that
    have not begun and of this one, the passes in which that happens, and the
    wait for a slot where none is free. What depends only on the request is
    computed once, as there may be many targets.

    Load: hosts that turn slow, and prompts of others that arrive with this
    one.
    """
    engine = work.engine
    steps = max(engine.steps_per_pass, 1)
    slots = max(engine.slots, 1)
    budget_tokens = engine.prefill_chunk_tokens * steps
    empty_pass_s = pass_s(engine, 0)
    pass_per_request_s = pass_s(engine, 1) - empty_pass_s
    prefill_others_s = prefill_s(engine, engine.mean_prompt_tokens)
    prefill_this_s = prefill_s(engine, work.prompt_tokens)
    # Mean time between the ends of answers while all slots are in use.
    slot_s = engine.mean_answer_tokens / steps * pass_s(engine, slots) / slots

    def predict(running: float, pending: float, slowness: float) -> float:
        duration_s = empty_pass_s + pass_per_request_s * running
        tokens = pending * engine.mean_prompt_tokens + work.prompt_tokens
        passes = 1 if tokens <= budget_tokens else tokens / budget_tokens
        total_s = (
            math.ceil(passes) * duration_s
            + pending * prefill_others_s
            + prefill_this_s
        )
        if running:
            total_s += duration_s / 2
        ended = running + pending + 1 - slots
        if ended > 0:
            total_s += ended * slot_s
        return slowness * total_s

    return predict


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
