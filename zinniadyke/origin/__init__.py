"""Adapter of the origin of weights."""

from zinniadyke.origin._client import OriginClient
from zinniadyke.origin._client import OriginRange

__all__ = ["OriginClient", "OriginRange"]
