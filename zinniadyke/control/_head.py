"""The head manifest: the one record of the accepted configuration."""

import hashlib

import msgspec

from zinniadyke import decoding
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import platform

HEAD_KEY = "config/head"
DOCUMENT_PREFIX = "config/doc/"
MAX_RECENT_CHANGES = 128


class RecentChange(msgspec.Struct, frozen=True, kw_only=True):
    """A recently accepted change."""

    change_id: ids.ChangeId
    revision: int
    author: str
    keys: list[str]


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """Lists the immutable document of every declared object.

    Attributes
    ----------
    revision
        Increases by one with each accepted change.
    objects
        Digest of each object's document, by object key.
    recent
        The most recent accepted changes, newest last.
    """

    revision: int = 0
    objects: dict[str, str] = {}
    recent: list[RecentChange] = []

    def find_change(self, change_id: ids.ChangeId) -> RecentChange | None:
        """Return a recent change by id, None if there is none."""
        for change in self.recent:
            if change.change_id == change_id:
                return change
        return None

    def last_change_of(self, key: str) -> RecentChange | None:
        """Return the newest recent change of ``key``, or None."""
        for change in reversed(self.recent):
            if key in change.keys:
                return change
        return None


class StoredHead(msgspec.Struct, frozen=True, kw_only=True):
    """A head and the platform's revision of its record."""

    head: Head
    platform_revision: platform.Revision | None


def read_head(client: platform.PlatformClient) -> StoredHead:
    """Read the head; it is empty when nothing has been accepted yet.

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
    """Decode a stored head.

    Raises
    ------
    PlatformError
        The bytes do not encode a head manifest.
    """
    try:
        return msgspec.json.decode(value, type=Head)
    except decoding.UNREADABLE as error:
        raise errors.PlatformError(
            f"{HEAD_KEY} is not a head manifest: {error}"
        )


def merge_after_restoration(known: Head, stored: Head) -> Head:
    """Return the head that a restored store should hold.

    Parameters
    ----------
    known
        Newest head that was in force before the restoration.
    stored
        Head that the store holds now.
    """
    if stored.revision > known.revision:
        return stored
    last = stored.recent[-1] if stored.recent else None
    if last is None or known.find_change(last.change_id) == last:
        return known
    # Changes were accepted after the copy that ``known`` does not contain.
    return msgspec.structs.replace(stored, revision=known.revision + 1)


def encode_document(value: msgspec.Struct) -> bytes:
    """Encode an object as a document, with sorted keys."""
    return msgspec.json.encode(value, order="sorted")


def document_digest(document: bytes) -> str:
    """Return the digest that is part of a document's key."""
    return hashlib.sha256(document).hexdigest()[:32]


def read_document(client: platform.PlatformClient, digest: str) -> bytes:
    """Read a document by its digest.

    Raises
    ------
    PlatformError
        The platform did not answer or does not have the document.
    """
    stored = client.get(
        DOCUMENT_PREFIX + digest, purpose=platform.Purpose.CONFIGURATION
    )
    if stored is None:
        raise errors.PlatformError(
            f"document {digest} does not exist in the platform"
        )
    return stored.value


def write_document(
    client: platform.PlatformClient, document: bytes, deadline_s: float
) -> None:
    """Store a document unless it is stored already.

    The key contains the digest, so an existing document is identical.

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
