"""The workspace kind."""

import msgspec

from zinniadyke.objects import _registry


@_registry.register("workspace")
class Workspace(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A tenant of the system.

    Attributes
    ----------
    share
        Weight in weighted fair queueing.
    tokens
        Salted hashes of the bearer tokens of its callers.
    operator_tokens
        Salted hashes of the bearer tokens of its operators.
    """

    share: int = 1
    tokens: list[str] = []
    operator_tokens: list[str] = []
