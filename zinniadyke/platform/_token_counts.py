"""Reads how many tokens a request has and may generate."""

import logging

import msgspec

from zinniadyke import decimal_text
from zinniadyke.platform import headers

LOG = logging.getLogger(__name__)

# Larger counts are no counts of tokens.
MAX_TOKENS = 100_000_000
MAX_LOGGED_CHARS = 40


class TokenCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Token counts that a request states; None for those that it does not.

    Attributes
    ----------
    expected_answer
        Estimated tokens of the answer, which is often far off.
    """

    prompt: int | None = None
    max_answer: int | None = None
    expected_answer: int | None = None


def parse_token_counts(counts: str, hint: str) -> TokenCounts:
    """Return the counts in a request's headers.

    Parameters
    ----------
    counts
        Header with the tokens of the prompt and the largest number of
        tokens of the answer, separated by a comma; empty if missing.
    hint
        Header with the estimated tokens of the answer; empty if missing.
    """
    prompt, _, largest = counts.partition(",")
    return TokenCounts(
        prompt=_parse(prompt, headers.TOKEN_COUNTS),
        max_answer=_parse(largest, headers.TOKEN_COUNTS),
        expected_answer=_parse(hint, headers.LENGTH_HINT),
    )


def _parse(text: str, header: str) -> int | None:
    text = text.strip()
    if not text:
        return None
    count = decimal_text.parse_count(text)
    if count is not None and count <= MAX_TOKENS:
        return count
    LOG.info(
        "token count unreadable, mean used",
        extra={"header": header, "value": text[:MAX_LOGGED_CHARS]},
    )
    return None
