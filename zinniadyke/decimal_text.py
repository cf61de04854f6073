"""Reads counts from text that others sent."""

# Numbers of more digits are no counts, and int() refuses some thousand digits.
MAX_DIGITS = 18


def parse_count(text: str | bytes) -> int | None:
    """Return a number of ASCII digits; None if the text is none.

    ``str.isdigit`` also accepts digits that ``int`` does not, such as "²".
    """
    text = text.strip()
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)
