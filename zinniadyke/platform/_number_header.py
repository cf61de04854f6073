"""Reads numbers from headers of targets."""

import logging

from zinniadyke import decimal_text

LOG = logging.getLogger(__name__)

MAX_LOGGED_CHARS = 40


def parse_number(text: str, *, header: str, server: str) -> float | None:
    """Return the number in a header; None if it has none, which is logged.

    Parameters
    ----------
    text
        Value of the header; empty if the answer has none.
    header, server
        Name of the header and address of the server, for the log.
    """
    text = text.strip()
    if not text:
        return None
    number = decimal_text.parse_decimal(text)
    if number is None:
        LOG.warning(
            "header unreadable, ignored",
            extra={
                "header": header,
                "address": server,
                "value": text[:MAX_LOGGED_CHARS],
            },
        )
    return number
