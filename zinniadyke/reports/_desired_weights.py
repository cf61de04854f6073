"""Applies desired versions that another process reported."""

from zinniadyke import directory
from zinniadyke import ids
from zinniadyke.reports import _messages

MS_PER_S = 1000.0


def learn_desired_weights(
    view: directory.View, ages_by_model: _messages.VersionAgesMs
) -> None:
    """Apply reported versions and their ages in ms to a view."""
    for model, ages in ages_by_model.items():
        for version, age_ms in ages.items():
            view.learn_desired_weights(
                ids.ModelName(model),
                ids.WeightsVersion(version),
                None if age_ms is None else age_ms / MS_PER_S,
            )
