"""Messages about configuration and hosts."""

from zinniadyke import ids
from zinniadyke.peers import _message
from zinniadyke import platform


class Delta(_message.Message):
    """Difference between two revisions of the configuration.

    Attributes
    ----------
    base
        Revision that it applies to; 0 for a whole configuration.
    changed
        Object key to its encoded document.
    """

    base: int
    revision: int
    changed: dict[str, bytes]
    removed: list[str]


class Sync(_message.Message):
    """Child to parent: send what is newer than this.

    Attributes
    ----------
    hosts_digest
        Digest of the host list that the child has.
    wait_s
        How long the parent may hold the answer, in seconds.
    """

    host: ids.HostName
    revision: int
    hosts_digest: str
    wait_s: float


class SyncReply(_message.Message):
    """Parent to child: what is newer, if anything."""

    delta: Delta | None = None
    hosts: list[platform.Host] | None = None
