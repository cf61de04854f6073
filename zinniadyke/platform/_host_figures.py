"""Reads an engine's figures of its host's speed and of its memory."""

from zinniadyke.platform import _target_load


def choose_pace(
    load: _target_load.Load | None, pace: object, *, stated_before: bool
) -> float | None:
    """Return the factor by which work takes longer; None if none is stated.

    The header states the factor of this moment, the report an older one,
    which counts only for engines that have stated one in the header.

    Parameters
    ----------
    load
        Load in the header of the answer; None if it has none.
    pace
        Factor in the report, of any type.
    stated_before
        Whether an earlier header stated a factor.
    """
    if load is not None and load.slowness is not None:
        return load.slowness
    if not stated_before:
        return None
    if isinstance(pace, (int, float)) and not isinstance(pace, bool):
        return float(pace)
    return None


def read_tokens(value: object) -> int:
    """Return a number of tokens of a report; 0, unknown, if it is none."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return 0
    return int(value) if 0 <= value < 1e18 else 0
