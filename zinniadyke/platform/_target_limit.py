"""Reads how many requests a second a target takes."""

import logging

from zinniadyke import decimal_text

LOG = logging.getLogger(__name__)

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
    text = text.strip()
    if not text:
        return None
    limit = decimal_text.parse_decimal(text)
    if limit is None:
        LOG.warning(
            "limit unreadable, ignored",
            extra={"address": server, "value": text[:40]},
        )
        return None
    return max(limit, MIN_LIMIT_PER_S)
