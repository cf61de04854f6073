"""Regression bounds of the benchmarks."""

import msgspec


class Bound(msgspec.Struct, frozen=True, kw_only=True):
    """A required upper limit and the measured value."""

    name: str
    limit: float
    value: float

    @property
    def is_met(self) -> bool:
        """Whether the value is within the limit."""
        return self.value <= self.limit


def describe_unmet_bounds(bounds: list[Bound]) -> list[str]:
    """Return a line for each bound that is not met."""
    return [
        f"{bound.name}: {bound.value:.3f} is over {bound.limit:g}"
        for bound in bounds
        if not bound.is_met
    ]
