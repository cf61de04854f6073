"""Reads how many requests a second a target takes."""

from zinniadyke.platform import _number_header
from zinniadyke.platform import headers

# A lower limit counts as this one: a target that nobody calls could not say
# that its limit has ended.
MIN_LIMIT_PER_S = 0.1


def parse_limit(text: str, server: str) -> float | None:
    """Return the requests a second in a header; None if unreadable.

    Parameters
    ----------
    text
        Value of the header; empty if the answer has none.
    server
        Address of the server, for the log.
    """
    limit = _number_header.parse_number(
        text, header=headers.TARGET_LIMIT, server=server
    )
    return None if limit is None else max(limit, MIN_LIMIT_PER_S)
