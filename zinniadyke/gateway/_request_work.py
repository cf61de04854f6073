"""Work that a request means for an engine."""

import msgspec

from zinniadyke import directory
from zinniadyke import platform


class RequestWork(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of a request, and the arithmetic of the engines that run it.

    Attributes
    ----------
    engine
        Engines of the service; None for a service without engines.
    prompt_tokens
        Tokens of the prompt; their mean if the request does not tell.
    answer_tokens
        Expected tokens of the answer.
    max_answer_tokens
        Largest number of tokens of the answer; the expected number if the
        request does not tell.
    """

    engine: directory.EngineProfile | None = None
    prompt_tokens: float = 0.0
    answer_tokens: float = 0.0
    max_answer_tokens: float = 0.0

    @property
    def kv_tokens(self) -> int:
        """Largest number of tokens that the request holds in memory."""
        return int(self.prompt_tokens + self.max_answer_tokens)


# Work of requests to services without engines.
UNKNOWN_WORK = RequestWork()


def estimate_work(
    counts: platform.TokenCounts, engine: directory.EngineProfile
) -> RequestWork:
    """Return the work of a request, with means for what it does not tell."""
    prompt, answer, largest = (
        counts.prompt,
        counts.expected_answer,
        counts.max_answer,
    )
    if prompt is None:
        prompt = engine.mean_prompt_tokens
    if answer is None:
        answer = engine.mean_answer_tokens
        if largest is not None:
            answer = min(answer, largest)
    return RequestWork(
        engine=engine,
        prompt_tokens=prompt,
        answer_tokens=answer,
        max_answer_tokens=answer if largest is None else largest,
    )
