"""The process on an entry host."""

from zinniadyke.entry._entry import Entry
from zinniadyke.entry._settings import EntrySettings

__all__ = ["Entry", "EntrySettings"]
