"""The workspace kind."""

import msgspec

from zinniadyke.objects import _registry


@_registry.register("workspace")
class Workspace(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A tenant of the fleet.

    Attributes
    ----------
    share
        Weight in fair queueing.
    tokens
        Salted hashes of its callers' bearer tokens.
    operator_tokens
        Salted hashes of its operators' bearer tokens.
    """

    share: int = 1
    tokens: list[str] = []
    operator_tokens: list[str] = []
