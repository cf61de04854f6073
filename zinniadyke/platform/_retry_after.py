"""Reads how long a server asks not to be called."""

import logging

from zinniadyke.platform import _number_header
from zinniadyke.platform import headers

LOG = logging.getLogger(__name__)

# Longer requests are cut to this, as a server that names days is faulty.
MAX_RETRY_AFTER_S = 300.0


def parse_retry_after(text: str, server: str) -> float | None:
    """Return the seconds in a Retry-After header; None if unreadable.

    Parameters
    ----------
    text
        Value of the header; empty if the answer has none.
    server
        Address of the server, for the log.
    """
    seconds = _number_header.parse_number(
        text, header=headers.RETRY_AFTER, server=server
    )
    if seconds is None:
        return None
    if seconds > MAX_RETRY_AFTER_S:
        LOG.warning(
            "Retry-After cut to the longest one honoured",
            extra={
                "address": server,
                "value": text.strip(),
                "s": MAX_RETRY_AFTER_S,
            },
        )
    return min(seconds, MAX_RETRY_AFTER_S)
