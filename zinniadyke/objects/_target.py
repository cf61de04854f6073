"""The target kind: what operators say of one target."""

import msgspec

from zinniadyke.objects import _registry


@_registry.register("target")
class Target(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An operator's setting for the target on the host of this name."""

    drained: bool = False
