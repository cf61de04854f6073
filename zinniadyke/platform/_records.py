"""Records that the platform client returns."""

import enum

import msgspec

from zinniadyke import ids
from zinniadyke.platform import _revision


class HostRole(enum.Enum):
    """Kind of process that runs on a host."""

    ENTRY = "entry"
    TARGET = "target"


class HostState(enum.Enum):
    """State of a host in the platform's list, which may lag."""

    LIVE = "live"
    LEAVING = "leaving"


class Host(msgspec.Struct, frozen=True, kw_only=True):
    """A host in the platform's list.

    Attributes
    ----------
    peer
        ``ip:port`` of the peer socket of the host's zinniadyke process.
    service
        The service that the host is a target of; empty on entry hosts.
    """

    name: ids.HostName
    role: HostRole
    zone: ids.ZoneName
    region: str
    peer: str
    service: ids.ServiceName = ids.ServiceName("")
    state: HostState = HostState.LIVE


class StoredObject(msgspec.Struct, frozen=True, kw_only=True):
    """A record with the revision of its last write."""

    key: str
    value: bytes
    revision: _revision.Revision
