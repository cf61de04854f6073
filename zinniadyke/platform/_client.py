"""Records of the product's own, kept as objects in the platform's store."""

import collections
from urllib import parse

import msgspec

from zinniadyke import errors
from zinniadyke.platform import _purpose
from zinniadyke.platform import _records
from zinniadyke.platform import _store
from zinniadyke import telemetry

# Limit of one object, in bytes; the platform's usual one.
MAX_VALUE_BYTES = 1 << 20
# Sets the product's kinds of objects apart from those of the platform.
KIND_PREFIX = "zinniadyke-"
# Kind of the hosts of the product's own deployments.
HOSTS_KIND = KIND_PREFIX + "hosts"


class PlatformClient:
    """Reads and writes records by key, and counts the calls by purpose.

    Parameters
    ----------
    url
        Base URL of the store, with an IP number as host.
    timeout_s
        Time limit of one call, in seconds.
    """

    def __init__(
        self, *, url: str, timeout_s: float = _store.CALL_TIMEOUT_S
    ) -> None:
        """Create the store's client; connects on first use."""
        self.calls: collections.Counter = collections.Counter()
        self.store = _store.StoreClient(
            address=parse.urlsplit(url).netloc, timeout_s=timeout_s
        )
        # For each watched key the revision that its caller knows, and the
        # one up to which nothing newer has been found.
        self.watched: dict[str, tuple[int, int]] = {}

    def get(
        self, key: str, *, purpose: _purpose.Purpose
    ) -> _records.StoredObject | None:
        """Return the record at ``key``, or None.

        Raises
        ------
        PlatformError
            The platform did not answer.
        """
        self._count(purpose)
        kind, name = _place(key)
        found = self.store.get_object(kind, name)
        return _stored(key, found) if found else None

    def put(
        self,
        key: str,
        value: bytes,
        *,
        purpose: _purpose.Purpose,
        revision: int | None,
    ) -> int:
        """Write ``value`` if the record is still at ``revision``.

        Parameters
        ----------
        value
            UTF-8 text.
        revision
            Expected revision; None when the record must not exist.

        Returns
        -------
        int
            The new revision.

        Raises
        ------
        ConflictError
            The record is at another revision.
        PlatformError
            The write may or may not have taken effect.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise errors.UserError(
                f"{key}: {len(value)} bytes is over the platform's limit"
                f" of {MAX_VALUE_BYTES}"
            )
        self._count(purpose)
        kind, name = _place(key)
        wanted = _store.StoreObject(
            metadata=_store.ObjectMetadata(name=name, revision=revision or 0),
            spec=msgspec.Raw(msgspec.json.encode(value.decode())),
        )
        if revision is None:
            written = self.store.create_object(kind, wanted)
        else:
            written = self.store.replace_object(kind, wanted)
        return written.metadata.revision

    def watch(
        self,
        key: str,
        *,
        purpose: _purpose.Purpose,
        after: int,
        wait_s: float,
    ) -> _records.StoredObject | None:
        """Wait until ``key`` is newer than ``after``; None if it is not.

        Raises
        ------
        PlatformError
            The platform did not answer.
        """
        self._count(purpose)
        kind, name = _place(key)
        known, since = self.watched.get(key, (after, after))
        if known != after:
            since = after
        try:
            found = self.store.watch(kind, max(since, 0), wait_s)
        except _store.HistoryGoneError:
            listed = self.store.list_objects(kind)
            newest = [o for o in listed.objects if o.metadata.name == name]
            since = listed.revision
        else:
            newest = [
                c.object
                for c in found.changes
                if c.object.metadata.name == name and not c.removed
            ]
            if found.changes:
                since = found.revision
        if newest and newest[-1].metadata.revision > after:
            return _stored(key, newest[-1])
        self.watched[key] = (after, since)
        return None

    def hosts(
        self, *, purpose: _purpose.Purpose = _purpose.Purpose.MEMBERSHIP
    ) -> list[_records.Host]:
        """Return the list of live and leaving hosts."""
        self._count(purpose)
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
            It is there already.
        PlatformError
            The platform did not answer.
        """
        self._count(_purpose.Purpose.MEMBERSHIP)
        self.store.create_object(
            HOSTS_KIND,
            _store.StoreObject(
                metadata=_store.ObjectMetadata(name=host.name),
                spec=msgspec.Raw(msgspec.json.encode(host)),
            ),
        )

    def _count(self, purpose: _purpose.Purpose) -> None:
        self.calls[purpose] += 1
        telemetry.count(telemetry.Metric.PLATFORM_CALLS, label=purpose.value)


def _place(key: str) -> tuple[str, str]:
    """Return the kind and the name of a key's object."""
    folder, _, name = key.rpartition("/")
    return KIND_PREFIX + folder.replace("/", "-"), name


def _stored(key: str, found: _store.StoreObject) -> _records.StoredObject:
    text = _store.decode(found.spec, str, key)
    return _records.StoredObject(
        key=key, value=text.encode(), revision=found.metadata.revision
    )
