"""The model kind."""

import msgspec

from zinniadyke.objects import _registry


@_registry.register("model", references={"service": "service"})
class Model(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A model that the targets of a service serve."""

    service: str
