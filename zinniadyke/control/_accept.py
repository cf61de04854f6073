"""Acceptance of changes: one conditional update of the head manifest."""

import msgspec

from zinniadyke.control import _change
from zinniadyke.control import _head
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import objects
from zinniadyke import platform

ACCEPT_DEADLINE_S = 15.0
MAX_REBASES = 20


class Accepted(msgspec.Struct, frozen=True, kw_only=True):
    """A change that is in the accepted configuration."""

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
    """Make all of ``wanted`` part of the configuration, or none of it.

    A change with the id of an accepted one is not made again.

    Raises
    ------
    DeclarationError
        The result would not be valid.
    ConflictError
        Another operator changed one of the same objects meanwhile.
    PlatformError
        The platform did not answer, and nothing was written to the head.
    UnknownOutcomeError
        The head may have been written; ask with ``change_outcome``.
    """
    first: _head.Head | None = None
    for _ in range(MAX_REBASES):
        stored = _head.read_head(client)
        done = stored.head.find_change(change_id)
        if done:
            return Accepted(
                change_id=change_id, revision=done.revision, lines=[]
            )
        first = first or stored.head
        _check_rebase(first, stored.head, wanted)
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
                f"unknown whether {change_id} was accepted; apply again"
                f" with --change-id {change_id}"
            )
        return Accepted(
            change_id=change_id, revision=head.revision, lines=lines
        )
    raise errors.ConflictError("too many operators at once; apply again")


def change_outcome(
    client: platform.PlatformClient, change_id: ids.ChangeId
) -> Accepted | None:
    """Return the accepted change with this id; None if there is none.

    Raises
    ------
    PlatformError
        The platform did not answer.
    """
    done = _head.read_head(client).head.find_change(change_id)
    if done is None:
        return None
    return Accepted(change_id=change_id, revision=done.revision, lines=[])


def load_configuration(
    client: platform.PlatformClient, head: _head.Head
) -> objects.Configuration:
    """Read all documents that a head names."""
    found = {}
    for key, digest in head.objects.items():
        document = _head.read_document(client, digest)
        parsed = objects.ObjectKey.parse(key)
        found[parsed] = decode_object(parsed, document)
    return objects.Configuration(revision=head.revision, objects=found)


def decode_object(key: objects.ObjectKey, document: bytes) -> msgspec.Struct:
    """Read the typed object of a document."""
    return msgspec.json.decode(document, type=objects.KINDS[key.kind].struct)


def _check_rebase(
    first: _head.Head, now: _head.Head, wanted: list[_change.Change]
) -> None:
    if first.revision == now.revision:
        return
    for change in wanted:
        key = str(change.key)
        if first.objects.get(key) == now.objects.get(key):
            continue
        winner = now.last_change_of(key)
        by = f" by {winner.author} ({winner.change_id})" if winner else ""
        raise errors.ConflictError(f"{key} was changed{by}; nothing applied")


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
    named = dict(head.objects)
    for change in changes:
        key = str(change.key)
        if change.value is None:
            named.pop(key, None)
        else:
            document = _head.encode_document(change.value)
            named[key] = _head.document_digest(document)
    recent = _head.RecentChange(
        change_id=change_id,
        revision=head.revision + 1,
        author=author,
        keys=[str(change.key) for change in changes],
    )
    return _head.Head(
        revision=head.revision + 1,
        objects=named,
        recent=[*head.recent, recent][-_head.RECENT_CHANGES :],
    )
