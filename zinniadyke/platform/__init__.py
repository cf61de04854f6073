"""Client of the platform: objects, conditional updates, watches, hosts."""

from zinniadyke.platform._client import PlatformClient
from zinniadyke.platform._purpose import Purpose
from zinniadyke.platform._records import Host
from zinniadyke.platform._records import HostRole
from zinniadyke.platform._records import HostState
from zinniadyke.platform._records import StoredObject
from zinniadyke.platform._update import update
from zinniadyke.platform._update import write_settled

__all__ = [
    "Host",
    "HostRole",
    "HostState",
    "PlatformClient",
    "Purpose",
    "StoredObject",
    "update",
    "write_settled",
]
