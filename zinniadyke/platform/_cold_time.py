"""Reads how long a target is cold, after a start or at its own wish."""

import functools
import logging
import math
import re

import msgspec

from zinniadyke import decoding
from zinniadyke import ids
from zinniadyke.platform import _number_header
from zinniadyke.platform import headers

LOG = logging.getLogger(__name__)

MS_PER_S = 1000.0
MAX_LOGGED_CHARS = 40
# Begin of a number in JSON.
NUMBER = re.compile(rb"-?[0-9]")
# Registrations whose unusable time is remembered, so that it is logged once
# and not with each heartbeat.
MAX_LOGGED = 1024


def parse_cold(text: str, server: str) -> float | None:
    """Return the seconds for which a target is cold; None if unreadable.

    Parameters
    ----------
    text
        Value of the header; empty if the answer has none.
    server
        Address of the server, for the log.
    """
    milliseconds = _number_header.parse_number(
        text, header=headers.COLD_MS, server=server
    )
    return None if milliseconds is None else milliseconds / MS_PER_S


def decode_cold(value: bytes, target: ids.TargetId) -> float | None:
    """Return the seconds in a registration; None if out of range.

    Parameters
    ----------
    value
        Milliseconds in JSON.

    Raises
    ------
    ValueError
        The value is no number.
    """
    if not NUMBER.match(value):
        raise ValueError("cold_remaining_ms is no number")
    try:
        milliseconds = msgspec.json.decode(value, type=float)
    except decoding.UNREADABLE:
        # Too large for a float.
        milliseconds = math.inf
    if not 0 <= milliseconds < math.inf:
        _log_unusable(target, value[:MAX_LOGGED_CHARS])
        return None
    return milliseconds / MS_PER_S


@functools.lru_cache(maxsize=MAX_LOGGED)
def _log_unusable(target: ids.TargetId, value: bytes) -> None:
    LOG.warning(
        "cold time of a registration unusable, ignored",
        extra={"target": target, "value": value.decode(errors="replace")},
    )
