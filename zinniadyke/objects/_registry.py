"""Registry of kinds, and validation of their fields."""

import msgspec

from zinniadyke import errors


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of declared object.

    Attributes
    ----------
    scope
        Kind of the object that it belongs to; empty for none.
    struct
        Struct type of its objects.
    references
        Kind of the object that a field must name, by field name.
    """

    name: str
    struct: type
    scope: str = ""
    references: dict[str, str] = {}


KINDS: dict[str, Kind] = {}


def register(
    name: str, *, scope: str = "", references: dict[str, str] | None = None
):
    """Return a class decorator that registers a struct as a kind."""

    def add(struct: type) -> type:
        KINDS[name] = Kind(
            name=name,
            struct=struct,
            scope=scope,
            references=references or {},
        )
        return struct

    return add


def convert(kind: str, fields: dict) -> msgspec.Struct:
    """Return an object of ``kind`` built from plain field values.

    Raises
    ------
    DeclarationError
        The kind or a field is unknown, missing or of the wrong type.
    """
    if kind not in KINDS:
        allowed = ", ".join(sorted(KINDS))
        raise errors.DeclarationError(
            f"unknown kind '{kind}'; the kinds are {allowed}"
        )
    try:
        return msgspec.convert(fields, KINDS[kind].struct)
    except msgspec.ValidationError as error:
        raise errors.DeclarationError(f"{kind}: {error}")
