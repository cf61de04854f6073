"""The target kind."""

import msgspec

from zinniadyke.objects import _registry


@_registry.register("target")
class Target(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Operators' setting for the target on the host of the same name.

    Attributes
    ----------
    drained
        Whether the target gets no new requests.
    """

    drained: bool = False
