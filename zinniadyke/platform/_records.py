"""Records that the platform's API returns."""

import enum

import msgspec

from zinniadyke import ids


class HostRole(enum.Enum):
    """What runs on a host."""

    ENTRY = "entry"
    TARGET = "target"


class HostState(enum.Enum):
    """State of a host in the platform's lagging list."""

    LIVE = "live"
    LEAVING = "leaving"


class Host(msgspec.Struct, frozen=True, kw_only=True):
    """A host of the platform's list.

    Attributes
    ----------
    peer
        ``ip:port`` of the peer socket of zinniadyke's process there.
    service
        The service whose target the host is; empty on entry hosts.
    """

    name: ids.HostName
    role: HostRole
    zone: ids.ZoneName
    region: str
    peer: str
    service: ids.ServiceName = ids.ServiceName("")
    state: HostState = HostState.LIVE


class StoredObject(msgspec.Struct, frozen=True, kw_only=True):
    """An object with the revision at which it was last written."""

    key: str
    value: bytes
    revision: int
