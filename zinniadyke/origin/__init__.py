"""Client of the origin, the store that weights are fetched from."""

from zinniadyke.origin._client import OriginClient
from zinniadyke.origin._client import OriginRange

__all__ = ["OriginClient", "OriginRange"]
