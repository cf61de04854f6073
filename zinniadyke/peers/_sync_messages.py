"""Messages that distribute the configuration and the host list."""

from zinniadyke import ids
from zinniadyke.peers import _message
from zinniadyke import platform


class Delta(_message.Message):
    """Difference between two revisions of the configuration.

    Attributes
    ----------
    base
        Revision that the delta applies to; 0 for a full configuration.
    changed
        Encoded documents by object key.
    """

    base: int
    revision: int
    changed: dict[str, bytes]
    removed: list[str]


class Sync(_message.Message):
    """Child to parent: request changes since the given revision and digest.

    Attributes
    ----------
    hosts_digest
        Digest of the host list that the child has.
    wait_s
        Long-poll limit, in seconds.
    """

    host: ids.HostName
    revision: int
    hosts_digest: str
    wait_s: float


class SyncReply(_message.Message):
    """Parent to child: changes to configuration and hosts, if any."""

    delta: Delta | None = None
    hosts: list[platform.Host] | None = None
