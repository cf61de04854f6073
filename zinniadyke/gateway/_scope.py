"""Which targets may run a request, whatever their load."""

import msgspec

from zinniadyke import ids


class Scope(msgspec.Struct, frozen=True, kw_only=True):
    """What decides which targets may run a request.

    Attributes
    ----------
    model
        Requested model; empty for services without models.
    allowed_regions
        Regions whose targets may run it; None means all regions.
    """

    service: ids.ServiceName
    model: str = ""
    allowed_regions: frozenset[ids.RegionName] | None = None

    def allows(self, region: str) -> bool:
        """Whether the targets of a region may run the request."""
        return self.allowed_regions is None or region in self.allowed_regions


def intersect_regions(
    one: frozenset[ids.RegionName] | None,
    other: frozenset[ids.RegionName] | None,
) -> frozenset[ids.RegionName] | None:
    """Return the regions that both allow; None stands for all regions."""
    if one is None or other is None:
        return other if one is None else one
    return one & other
