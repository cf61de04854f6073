"""Interprets numbers, sizes and durations of the language."""

import re

SIZE = re.compile(r"(\d+)(KiB|MiB|GiB)")
DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h)")
SIZE_UNITS_BYTES = {"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
DURATION_UNITS_S = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}


def interpret(word: str):
    """Return the value of an unquoted word.

    Numbers, sizes (in bytes), durations (in seconds), ``true`` and ``false``
    are converted; any other word stays a string.
    """
    if word in ("true", "false"):
        return word == "true"
    if match := SIZE.fullmatch(word):
        return int(match[1]) * SIZE_UNITS_BYTES[match[2]]
    if match := DURATION.fullmatch(word):
        return float(match[1]) * DURATION_UNITS_S[match[2]]
    for number in (int, float):
        try:
            return number(word)
        except ValueError:
            continue
    return word


def duration_s(word: str) -> float:
    """Return a duration such as ``5m`` in seconds.

    Raises
    ------
    ValueError
        The word is not a duration.
    """
    match = DURATION.fullmatch(word)
    if match is None:
        raise ValueError(f"'{word}' is not a duration such as 30s or 5m")
    return float(match[1]) * DURATION_UNITS_S[match[2]]
