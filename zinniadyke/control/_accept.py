"""Accepts changes with one compare-and-swap of the head manifest."""

import msgspec

from zinniadyke.control import _change
from zinniadyke.control import _head
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import objects
from zinniadyke import platform

ACCEPT_DEADLINE_S = 15.0
MAX_CAS_ATTEMPTS = 20


class Accepted(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted change.

    Attributes
    ----------
    revision
        Revision of the configuration that contains the change.
    lines
        One-line summaries of the changed objects.
    """

    change_id: ids.ChangeId
    revision: int
    lines: list[str]


def accept(
    client: platform.PlatformClient,
    wanted: list[_change.Change],
    *,
    author: str,
    change_id: ids.ChangeId,
    deadline_s: float = ACCEPT_DEADLINE_S,
) -> Accepted:
    """Apply all of ``wanted`` to the configuration, or nothing.

    The change id is an idempotency key: a change whose id is among the
    recently accepted ones is not applied again.

    Raises
    ------
    DeclarationError
        The result would not be valid.
    ConflictError
        Another operator changed one of the same objects in the meantime,
        or the head changed too often to be written.
    PlatformError
        The platform did not answer, and nothing was written to the head.
    UnknownOutcomeError
        The head may have been written; ``change_outcome`` tells.
    """
    first_head: _head.Head | None = None
    for _ in range(MAX_CAS_ATTEMPTS):
        stored = _head.read_head(client)
        earlier_change = stored.head.find_change(change_id)
        if earlier_change:
            return Accepted(
                change_id=change_id, revision=earlier_change.revision, lines=[]
            )
        first_head = first_head or stored.head
        _check_conflicts(first_head, stored.head, wanted)
        present = load_configuration(client, stored.head)
        changes = _change.plan_changes(present, wanted)
        lines = [change.describe(present) for change in changes]
        if not changes:
            return Accepted(
                change_id=change_id,
                revision=stored.head.revision,
                lines=lines,
            )
        head = _next_head(stored.head, changes, author, change_id)
        _write_documents(client, changes, deadline_s)
        try:
            platform.compare_and_swap(
                client,
                _head.HEAD_KEY,
                msgspec.json.encode(head),
                purpose=platform.Purpose.CONFIGURATION,
                revision=stored.platform_revision,
                deadline_s=deadline_s,
            )
        except errors.ConflictError:
            continue
        except errors.UnknownOutcomeError:
            raise errors.UnknownOutcomeError(
                f"unknown whether change {change_id} was accepted; apply"
                f" again with --change-id {change_id}"
            )
        return Accepted(
            change_id=change_id, revision=head.revision, lines=lines
        )
    raise errors.ConflictError(
        "the configuration changed too often meanwhile; apply again"
    )


def change_outcome(
    client: platform.PlatformClient, change_id: ids.ChangeId
) -> Accepted | None:
    """Return the recently accepted change with this id, or None.

    Raises
    ------
    PlatformError
        The platform did not answer.
    """
    earlier_change = _head.read_head(client).head.find_change(change_id)
    if earlier_change is None:
        return None
    return Accepted(
        change_id=change_id, revision=earlier_change.revision, lines=[]
    )


def load_configuration(
    client: platform.PlatformClient, head: _head.Head
) -> objects.Configuration:
    """Read the configuration whose documents ``head`` lists."""
    found = {}
    for key, digest in head.objects.items():
        document = _head.read_document(client, digest)
        parsed = objects.ObjectKey.parse(key)
        found[parsed] = decode_object(parsed, document)
    return objects.Configuration(revision=head.revision, objects=found)


def decode_object(key: objects.ObjectKey, document: bytes) -> msgspec.Struct:
    """Decode a document to the type that the key's kind has."""
    return msgspec.json.decode(document, type=objects.KINDS[key.kind].struct)


def _check_conflicts(
    first_head: _head.Head,
    current_head: _head.Head,
    wanted: list[_change.Change],
) -> None:
    if first_head.revision == current_head.revision:
        return
    for change in wanted:
        key = str(change.key)
        if first_head.objects.get(key) == current_head.objects.get(key):
            continue
        last_change = current_head.last_change_of(key)
        author_note = (
            f" by {last_change.author} ({last_change.change_id})"
            if last_change
            else ""
        )
        raise errors.ConflictError(
            f"{key} was changed{author_note}; no change was applied"
        )


def _write_documents(
    client: platform.PlatformClient,
    changes: list[_change.Change],
    deadline_s: float,
) -> None:
    for change in changes:
        if change.value is not None:
            document = _head.encode_document(change.value)
            _head.write_document(client, document, deadline_s)


def _next_head(
    head: _head.Head,
    changes: list[_change.Change],
    author: str,
    change_id: ids.ChangeId,
) -> _head.Head:
    digests = dict(head.objects)
    for change in changes:
        key = str(change.key)
        if change.value is None:
            digests.pop(key, None)
        else:
            document = _head.encode_document(change.value)
            digests[key] = _head.document_digest(document)
    recent = _head.RecentChange(
        change_id=change_id,
        revision=head.revision + 1,
        author=author,
        keys=[str(change.key) for change in changes],
    )
    return _head.Head(
        revision=head.revision + 1,
        objects=digests,
        recent=[*head.recent, recent][-_head.MAX_RECENT_CHANGES :],
    )
