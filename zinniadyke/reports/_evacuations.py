"""Passes on evacuations between a view and messages."""

from zinniadyke import directory
from zinniadyke.reports import _messages


def learn_evacuations(
    view: directory.View, told: _messages.Evacuations | None
) -> None:
    """Apply evacuations that another process reported, if they are newer.

    Load: every report of every agent names them, so most are known.
    """
    if told is None or not view.follows_evacuations:
        return
    known = view.evacuations
    if known is not None and (
        (told.era, told.revision) <= (known.era, known.revision)
    ):
        return
    view.set_evacuations(
        directory.Evacuations(
            era=told.era, revision=told.revision, zones=frozenset(told.zones)
        ),
        source="agent",
    )


def describe_evacuations(view: directory.View) -> _messages.Evacuations | None:
    """Return the newest list that a view knows, for a message."""
    known = view.evacuations
    if known is None:
        return None
    return _messages.Evacuations(
        era=known.era, revision=known.revision, zones=sorted(known.zones)
    )
