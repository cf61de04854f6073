"""The time at which a version was named, as the store's status tells it."""

import logging
import time
from typing import Annotated

import msgspec

from zinniadyke import decoding
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke.platform import _store
from zinniadyke import uptime

LOG = logging.getLogger(__name__)

VERSIONS_KIND = "versions"
# Clocks of hosts differ and may step by a second or two. The recorded time
# counts as this much earlier, so that weights never serve past their bound.
CLOCK_MARGIN_S = 2.0
# No bound on the use of older weights is this long, so an older record
# changes nothing, or was written by a clock that is wrong.
MAX_RECORD_AGE_S = 600.0
MS_PER_S = 1000.0


class _VersionStatus(msgspec.Struct):
    version: int
    # A greater number would not convert to a float exactly, or at all.
    named_unix_ms: Annotated[int, msgspec.Meta(le=1 << 53)]


class _VersionSpec(msgspec.Struct):
    version: int


def recorded_since(
    stored: _store.StoreObject, version: ids.WeightsVersion
) -> float | None:
    """Return when a version was named, by the uptime clock.

    None if the object has no usable record for the version; the reason is
    logged unless the object has no status, or that of an earlier version.
    """
    if bytes(stored.status) in (b"", b"null"):
        return None
    try:
        status = msgspec.json.decode(stored.status, type=_VersionStatus)
    except decoding.UNREADABLE as error:
        return _ignore(stored, reason=str(error))
    if status.version < version:
        # The operator's write keeps the status of the version before.
        return None
    if status.version > version:
        return _ignore(stored, reason="status of another version")
    age_s = time.time() - status.named_unix_ms / MS_PER_S
    if not 0.0 <= age_s <= MAX_RECORD_AGE_S:
        return _ignore(stored, reason=f"named {age_s:.1f} s ago")
    return uptime.now_s() - age_s - CLOCK_MARGIN_S


def _ignore(stored: _store.StoreObject, *, reason: str) -> None:
    LOG.warning(
        "recorded time of naming ignored",
        extra={"object": stored.metadata.name, "reason": reason},
    )


def record_version(
    store: _store.StoreClient,
    model: ids.ModelName,
    version: ids.WeightsVersion,
    named_unix_ms: int,
) -> bool:
    """Record when a version was named; return whether this call did so.

    It does not if the time is recorded already or if another version is
    named. A status that does not tell the time of this version is replaced.

    Raises
    ------
    ConflictError
        The object was changed or removed meanwhile.
    PlatformError
        The store did not answer; the time may or may not be recorded.
    """
    stored = store.get_object(VERSIONS_KIND, model)
    if stored is None or _read_version(stored.spec, _VersionSpec) != version:
        return False
    if _read_version(stored.status, _VersionStatus) == version:
        return False
    status = _VersionStatus(version=version, named_unix_ms=named_unix_ms)
    store.replace_status(
        VERSIONS_KIND,
        _store.StoreObject(
            metadata=_store.ObjectMetadata(
                name=model, revision=stored.metadata.revision
            ),
            status=msgspec.Raw(msgspec.json.encode(status)),
        ),
    )
    return True


def _read_version(
    raw: msgspec.Raw, wanted: type[_VersionSpec | _VersionStatus]
) -> int | None:
    try:
        return _store.decode(raw, wanted, "version").version
    except errors.PlatformError:
        # Its reason is logged where the list is read.
        return None
