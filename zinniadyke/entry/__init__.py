"""The process on an entry host: HTTP server, routing and dispatch."""

from zinniadyke.entry._entry import Entry
from zinniadyke.entry._target_pool import TargetPool

__all__ = ["Entry", "TargetPool"]
