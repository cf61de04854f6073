"""Takes named versions from another process's datagram."""

from zinniadyke import directory
from zinniadyke import ids
from zinniadyke.reports import _messages

MS_PER_S = 1000.0


def learn_desired_weights(
    view: directory.View, ages_by_model: _messages.VersionAgesMs
) -> None:
    """Let a view learn of versions, and since when they are named."""
    for model, ages in ages_by_model.items():
        for version, age_ms in ages.items():
            view.learn_desired_weights(
                ids.ModelName(model),
                ids.WeightsVersion(version),
                None if age_ms is None else age_ms / MS_PER_S,
            )
