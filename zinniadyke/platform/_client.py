"""The product's own records, kept as objects in the platform's store."""

import collections
from urllib import parse

import msgspec

from zinniadyke import errors
from zinniadyke.platform import _purpose
from zinniadyke.platform import _records
from zinniadyke.platform import _revision
from zinniadyke.platform import _store
from zinniadyke import telemetry

# The platform's default limit of the size of an object.
MAX_VALUE_BYTES = 1 << 20
# Separates the product's kinds of objects from those of the platform.
KIND_PREFIX = "zinniadyke-"
# Kind of the host objects of the product's own deployments.
HOSTS_KIND = KIND_PREFIX + "hosts"


class PlatformClient:
    """Reads and writes records by key and counts the calls by purpose.

    Parameters
    ----------
    url
        Base URL of the store; its host must be an IP address.
    timeout_s
        Time limit of one call, in seconds.
    """

    def __init__(
        self, *, url: str, timeout_s: float = _store.CALL_TIMEOUT_S
    ) -> None:
        """Create the store's client, which connects on first use."""
        self.calls: collections.Counter = collections.Counter()
        self.store = _store.StoreClient(
            address=parse.urlsplit(url).netloc, timeout_s=timeout_s
        )
        # For each watched key the revision that the caller has, and the one
        # up to which no newer change of the key exists.
        self.watch_progress: dict[
            str, tuple[_revision.Revision, _revision.Revision]
        ] = {}

    @property
    def era(self) -> int:
        """Newest era that the store has stated."""
        return self.store.era

    def get(
        self, key: str, *, purpose: _purpose.Purpose
    ) -> _records.StoredObject | None:
        """Return the record at ``key``, or None.

        Raises
        ------
        PlatformError
            The platform did not answer.
        """
        self._count_call(purpose)
        kind, name = _split_key(key)
        answer = self.store.get_object(kind, name)
        return self._to_stored_object(key, answer) if answer else None

    def put(
        self,
        key: str,
        value: bytes,
        *,
        purpose: _purpose.Purpose,
        revision: _revision.Revision | None,
    ) -> _revision.Revision:
        """Write ``value`` if the record is at ``revision``.

        Parameters
        ----------
        value
            UTF-8 text.
        revision
            Expected revision; None when the record must not exist.

        Returns
        -------
        Revision
            The new revision.

        Raises
        ------
        ConflictError
            The record is at another revision, or the store was restored
            since the record was read.
        PlatformError
            The write may or may not have taken effect.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise errors.UserError(
                f"{key}: value of {len(value)} bytes exceeds the platform's"
                f" limit of {MAX_VALUE_BYTES} bytes"
            )
        if revision is not None and revision.era != self.era:
            raise errors.ConflictError(
                f"{key} was read before the store was restored"
            )
        self._count_call(purpose)
        kind, name = _split_key(key)
        new_object = _store.StoreObject(
            metadata=_store.ObjectMetadata(
                name=name, revision=revision.number if revision else 0
            ),
            spec=msgspec.Raw(msgspec.json.encode(value.decode())),
        )
        if revision is None:
            written = self.store.create_object(kind, new_object)
        else:
            written = self.store.replace_object(kind, new_object)
        if revision is not None and revision.era != self.era:
            raise errors.PlatformError(
                f"{key} was written while the store was restored; the"
                " condition may have matched another change"
            )
        return _revision.Revision(self.era, written.metadata.revision)

    def watch(
        self,
        key: str,
        *,
        purpose: _purpose.Purpose,
        after: _revision.Revision | None,
        wait_s: float,
    ) -> _records.StoredObject | None:
        """Return the record once newer than ``after``; None on timeout.

        After the store was restored the record is returned in any case, as
        its revisions before and after are not comparable.

        Parameters
        ----------
        after
            Revision of the record that the caller has; None if it has none.

        Raises
        ------
        PlatformError
            The platform did not answer.
        """
        self._count_call(purpose)
        kind, name = _split_key(key)
        if after is None or after.era != self.era:
            after = _revision.Revision(self.era, 0)
        caller_revision, checked_revision = self.watch_progress.get(
            key, (after, after)
        )
        if caller_revision != after:
            checked_revision = after
        try:
            answer = self.store.watch(kind, checked_revision, wait_s)
        except _store.HistoryGoneError:
            listed = self.store.list_objects(kind)
            matches = [o for o in listed.objects if o.metadata.name == name]
            checked_revision = listed.revision
            if after.era != self.era:
                after = _revision.Revision(self.era, 0)
        else:
            matches = [
                c.object
                for c in answer.changes
                if c.object.metadata.name == name and not c.removed
            ]
            if answer.changes:
                checked_revision = answer.revision
        if matches and matches[-1].metadata.revision > after.number:
            return self._to_stored_object(key, matches[-1])
        self.watch_progress[key] = (after, checked_revision)
        return None

    def hosts(
        self, *, purpose: _purpose.Purpose = _purpose.Purpose.MEMBERSHIP
    ) -> list[_records.Host]:
        """Return all live and leaving hosts."""
        self._count_call(purpose)
        listed = self.store.list_objects(HOSTS_KIND)
        return [
            _store.decode(o.spec, _records.Host, "host")
            for o in listed.objects
        ]

    def add_host(self, host: _records.Host) -> None:
        """Add a host to the list.

        Raises
        ------
        ConflictError
            A host of that name exists.
        PlatformError
            The platform did not answer.
        """
        self._count_call(_purpose.Purpose.MEMBERSHIP)
        self.store.create_object(
            HOSTS_KIND,
            _store.StoreObject(
                metadata=_store.ObjectMetadata(name=host.name),
                spec=msgspec.Raw(msgspec.json.encode(host)),
            ),
        )

    def _to_stored_object(
        self, key: str, answer: _store.StoreObject
    ) -> _records.StoredObject:
        text = _store.decode(answer.spec, str, key)
        return _records.StoredObject(
            key=key,
            value=text.encode(),
            revision=_revision.Revision(self.era, answer.metadata.revision),
        )

    def _count_call(self, purpose: _purpose.Purpose) -> None:
        self.calls[purpose] += 1
        telemetry.count(telemetry.Metric.PLATFORM_CALLS, label=purpose.value)


def _split_key(key: str) -> tuple[str, str]:
    """Return the kind and the name of the object at a key."""
    folder, _, name = key.rpartition("/")
    return KIND_PREFIX + folder.replace("/", "-"), name
