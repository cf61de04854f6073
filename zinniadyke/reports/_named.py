"""Takes named versions from another process's datagram."""

from zinniadyke import directory
from zinniadyke import ids
from zinniadyke.reports import _messages

MS_PER_S = 1000.0


def learn_named(view: directory.View, named: _messages.NamedAges) -> None:
    """Let a view learn of versions, and since when they are named."""
    for model, ages in named.items():
        for version, age_ms in ages.items():
            view.learn_named(
                ids.ModelName(model),
                ids.WeightsVersion(version),
                None if age_ms is None else age_ms / MS_PER_S,
            )
