"""Reads counts and decimal numbers from text that others sent."""

import re

# Numbers of more digits are no counts, and int() refuses some thousand digits.
MAX_DIGITS = 18
DECIMAL = re.compile(r"\d{1,12}(\.\d*)?|\.\d+", re.ASCII)


def parse_count(text: str | bytes) -> int | None:
    """Return a number of ASCII digits; None if the text is none.

    ``str.isdigit`` also accepts digits that ``int`` does not, such as "²".
    """
    text = text.strip()
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)


def parse_decimal(text: str) -> float | None:
    """Return a number such as ``1.5``; None if the text is none.

    ``float`` also accepts signs, exponents, infinity and other digits.
    """
    text = text.strip()
    return float(text) if DECIMAL.fullmatch(text) else None
