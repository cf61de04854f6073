"""Reads an engine's figures of its host's speed and of its memory."""

from zinniadyke import decimal_text

# Position of the slowness in the load header, and its usual value.
SLOWNESS_POSITION = 3
USUAL_SLOWNESS = 100.0


def choose_pace(load_header: str, pace: object) -> float | None:
    """Return the factor by which work takes longer; None if none is stated.

    The header states the factor of this moment, the report an older one.

    Parameters
    ----------
    load_header
        Load header of the answer; empty if it has none.
    pace
        Factor in the report, of any type.
    """
    parts = load_header.split(",")
    if len(parts) > SLOWNESS_POSITION:
        stated = decimal_text.parse_decimal(parts[SLOWNESS_POSITION])
        if stated:
            return stated / USUAL_SLOWNESS
    if isinstance(pace, (int, float)) and not isinstance(pace, bool):
        return float(pace)
    return None


def read_tokens(value: object) -> int:
    """Return a number of tokens of a report; 0, unknown, if it is none."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return 0
    return int(value) if 0 <= value < 1e18 else 0
