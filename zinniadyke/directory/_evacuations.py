"""Zones that the operator has evacuated."""

import msgspec

from zinniadyke import ids


class Evacuations(msgspec.Struct, frozen=True, kw_only=True):
    """Zones that are evacuated as of a revision of the store.

    Attributes
    ----------
    era, revision
        The store's era and the revision in it. Lists with the same era and
        revision name the same zones.
    """

    era: int
    revision: int
    zones: frozenset[ids.ZoneName]

    def newer_than(self, other: "Evacuations | None") -> bool:
        """Whether this list replaces another one."""
        return other is None or (
            (self.era, self.revision) > (other.era, other.revision)
        )
