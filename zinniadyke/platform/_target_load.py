"""Reads the load that a target states in its answers."""

import msgspec

from zinniadyke import decimal_text

# Factor of a host where work takes as long as usual, in the header.
USUAL_SLOWNESS = 100.0
# A host is not slower than 100 times as usual; more is an error.
MAX_SLOWNESS = 10000.0


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Load of a target.

    Attributes
    ----------
    running, waiting, slots
        Numbers of running requests, waiting requests and slots. All three
        are None if one of them is missing or unreadable.
    slowness
        Factor by which work takes longer than usual on the target's host;
        None if it is missing or unusable.
    unusable
        Whether a figure was unusable.
    """

    running: int | None
    waiting: int | None
    slots: int | None
    slowness: float | None
    unusable: bool


def parse_load(text: str) -> Load | None:
    """Return the load in a header; None if the header is empty.

    Figures after the fourth are ignored. A bad figure does not affect good
    ones, but running, waiting and slots are used only together.
    """
    if not text.strip():
        return None
    figures = text.split(",")
    counts = [decimal_text.parse_count(part) for part in figures[:3]]
    counted = len(counts) == 3 and None not in counts
    slowness = None
    if len(figures) > 3:
        slowness = decimal_text.parse_decimal(figures[3])
        if slowness is not None and not 0 < slowness <= MAX_SLOWNESS:
            slowness = None
    running, waiting, slots = counts if counted else (None, None, None)
    return Load(
        running=running,
        waiting=waiting,
        slots=slots,
        slowness=None if slowness is None else slowness / USUAL_SLOWNESS,
        unusable=not counted or (len(figures) > 3 and slowness is None),
    )
