"""The route kind."""

import msgspec

from zinniadyke.objects import _registry


@_registry.register("route", scope="workspace")
class Route(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Allows a workspace to send requests to a model or a service.

    Attributes
    ----------
    model, service
        Model or service that callers may name; exactly one is set.
    classes
        Request classes that the route applies to; empty for all.
    versions
        Share of the requests by version name, in per cent; empty for
        whichever version a target serves.
    priority
        Requests with a lower number are served first.
    """

    model: str = ""
    service: str = ""
    classes: list[str] = []
    versions: dict[str, int] = {}
    priority: int = 1
