"""The head manifest: one object that names the accepted configuration."""

import hashlib

import msgspec

from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import platform

HEAD_KEY = "config/head"
DOCUMENT_PREFIX = "config/doc/"
RECENT_CHANGES = 128


class RecentChange(msgspec.Struct, frozen=True, kw_only=True):
    """A change that was accepted not long ago."""

    change_id: ids.ChangeId
    revision: int
    author: str
    keys: list[str]


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """Names the immutable document of every declared object.

    Attributes
    ----------
    revision
        Grows by one with each accepted change.
    objects
        Object key to the digest of its document.
    recent
        The last accepted changes, the newest last.
    """

    revision: int = 0
    objects: dict[str, str] = {}
    recent: list[RecentChange] = []

    def find_change(self, change_id: ids.ChangeId) -> RecentChange | None:
        """Return a recent change by id."""
        for change in self.recent:
            if change.change_id == change_id:
                return change
        return None

    def last_change_of(self, key: str) -> RecentChange | None:
        """Return the newest recent change that touched ``key``."""
        for change in reversed(self.recent):
            if key in change.keys:
                return change
        return None


class StoredHead(msgspec.Struct, frozen=True, kw_only=True):
    """A head with the platform's revision of its object."""

    head: Head
    platform_revision: int | None


def read_head(client: platform.PlatformClient) -> StoredHead:
    """Read the head; an empty one when nothing was accepted yet.

    Raises
    ------
    PlatformError
        The platform did not answer.
    """
    stored = client.get(HEAD_KEY, purpose=platform.Purpose.CONFIGURATION)
    if stored is None:
        return StoredHead(head=Head(), platform_revision=None)
    return StoredHead(
        head=decode_head(stored.value), platform_revision=stored.revision
    )


def decode_head(value: bytes) -> Head:
    """Read an encoded head.

    Raises
    ------
    PlatformError
        The bytes are not a head manifest.
    """
    try:
        return msgspec.json.decode(value, type=Head)
    except msgspec.MsgspecError as error:
        raise errors.PlatformError(f"{HEAD_KEY}: {error}")


def encode_document(value: msgspec.Struct) -> bytes:
    """Return the bytes of an object's document."""
    return msgspec.json.encode(value, order="sorted")


def document_digest(document: bytes) -> str:
    """Return the digest under which a document is stored."""
    return hashlib.sha256(document).hexdigest()[:32]


def read_document(client: platform.PlatformClient, digest: str) -> bytes:
    """Read a document.

    Raises
    ------
    PlatformError
        The platform did not answer or does not have it.
    """
    stored = client.get(
        DOCUMENT_PREFIX + digest, purpose=platform.Purpose.CONFIGURATION
    )
    if stored is None:
        raise errors.PlatformError(f"document {digest} is missing")
    return stored.value


def write_document(
    client: platform.PlatformClient, document: bytes, deadline_s: float
) -> None:
    """Store a document; one that is already there is the same.

    Raises
    ------
    PlatformError
        The platform did not answer within ``deadline_s`` seconds.
    """
    key = DOCUMENT_PREFIX + document_digest(document)
    try:
        platform.compare_and_swap(
            client,
            key,
            document,
            purpose=platform.Purpose.CONFIGURATION,
            revision=None,
            deadline_s=deadline_s,
        )
    except errors.ConflictError:
        return
    except errors.UnknownOutcomeError as error:
        raise errors.PlatformError(error.message)
