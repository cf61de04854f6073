"""Key of a declared object."""

import msgspec


class ObjectKey(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """Kind, scope and name of an object.

    Attributes
    ----------
    scope
        Name of the object that it belongs to, such as the model of a
        version; empty for kinds without a scope.
    """

    kind: str
    scope: str = ""
    name: str

    def __str__(self) -> str:
        """Return ``kind/scope/name``, the form stored in head manifests."""
        return f"{self.kind}/{self.scope}/{self.name}"

    @classmethod
    def parse(cls, text: str) -> "ObjectKey":
        """Parse ``kind/scope/name``."""
        kind, scope, name = text.split("/", 2)
        return cls(kind=kind, scope=scope, name=name)
