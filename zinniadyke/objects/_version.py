"""The version kind."""

import msgspec

from zinniadyke.objects import _registry


@_registry.register("version", scope="model")
class Version(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An immutable version of a model's weights.

    Attributes
    ----------
    source
        URL of the weights at the origin; the manifest is at
        ``source`` + ``.manifest``.
    digest
        SHA-256 of the manifest, in hex.
    """

    source: str
    digest: str
