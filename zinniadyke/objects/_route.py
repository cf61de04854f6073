"""The route kind."""

import msgspec

from zinniadyke.objects import _registry


@_registry.register("route", scope="workspace")
class Route(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Lets a workspace reach a model or a service.

    Attributes
    ----------
    model, service
        What callers may name; exactly one of the two is set.
    classes
        Classes that the route is for; empty for all.
    versions
        Version name to its part of the requests, in per cent; empty for
        whatever version a target serves.
    priority
        Lower is served first.
    """

    model: str = ""
    service: str = ""
    classes: list[str] = []
    versions: dict[str, int] = {}
    priority: int = 1
