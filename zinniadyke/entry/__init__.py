"""The process on an entry host."""

from zinniadyke.entry._entry import Entry

__all__ = ["Entry"]
