"""Revisions of the store, which restarts them when it is restored."""

import typing

from zinniadyke import decimal_text

# Era of a store that does not report one.
NO_ERA = 0


class Revision(typing.NamedTuple):
    """A revision of the store; only those of one era are comparable.

    A store that is restored from a copy gives out the revisions after the
    copy again, for other changes, and starts a new era.
    """

    era: int
    number: int


def parse_era(text: str | None) -> int | None:
    """Return the era that an answer states; None if absent or unreadable."""
    return None if text is None else decimal_text.parse_count(text)
