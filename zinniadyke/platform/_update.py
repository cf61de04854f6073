"""Conditional updates whose outcome is settled after a lost answer."""

from collections.abc import Callable
import random

import eventlet

from zinniadyke import errors
from zinniadyke.platform import _client
from zinniadyke.platform import _purpose
from zinniadyke.platform import _records
from zinniadyke.platform import _revision

RETRY_BASE_S = 0.05
RETRY_MAX_S = 1.0
MAX_CONFLICTS = 50


def compare_and_swap(
    client: _client.PlatformClient,
    key: str,
    value: bytes,
    *,
    purpose: _purpose.Purpose,
    revision: _revision.Revision | None,
    deadline_s: float,
) -> _revision.Revision:
    """Write if the record is at ``revision``; resolve unknown outcomes.

    A write with an unknown outcome is repeated with the same condition. It
    then either succeeds or conflicts. After a conflict the stored bytes show
    whether the earlier attempt took effect, so ``value`` must be unique to
    this write, for example by a change id in it.

    Raises
    ------
    ConflictError
        Another write came first; this one will never take effect.
    UnknownOutcomeError
        The platform was unreachable for ``deadline_s`` seconds.
    """
    outcome_known = True
    with eventlet.Timeout(deadline_s, False):
        for pause_s in backoff():
            try:
                return client.put(
                    key, value, purpose=purpose, revision=revision
                )
            except errors.ConflictError:
                if outcome_known:
                    raise
                return _read_back(client, key, value, purpose=purpose)
            except errors.PlatformError:
                outcome_known = False
            eventlet.sleep(pause_s)
    raise errors.UnknownOutcomeError(
        f"{key}: the platform did not answer, the write may have taken effect"
    )


def update(
    client: _client.PlatformClient,
    key: str,
    change: Callable[[bytes | None], bytes | None],
    *,
    purpose: _purpose.Purpose,
    deadline_s: float = 10.0,
) -> _records.StoredObject | None:
    """Apply ``change`` to an object; repeat it after each conflict.

    Parameters
    ----------
    change
        Takes the present bytes, or None if there is no object. Returns the
        bytes to write, or None to write nothing.

    Returns
    -------
    StoredObject or None
        The object as stored after the update.

    Raises
    ------
    PlatformError
        The platform did not answer a read.
    ConflictError
        Each of ``MAX_CONFLICTS`` attempts conflicted with another writer.
    UnknownOutcomeError
        The outcome of the write could not be determined.
    """
    for pause_s in backoff(MAX_CONFLICTS):
        stored = client.get(key, purpose=purpose)
        value = change(stored.value if stored else None)
        if value is None:
            return stored
        try:
            revision = compare_and_swap(
                client,
                key,
                value,
                purpose=purpose,
                revision=stored.revision if stored else None,
                deadline_s=deadline_s,
            )
        except errors.ConflictError:
            eventlet.sleep(pause_s)
            continue
        return _records.StoredObject(key=key, value=value, revision=revision)
    raise errors.ConflictError(
        f"{key}: another writer came first at each attempt"
    )


def backoff(max_attempts: int = 1 << 30):
    """Yield pauses in seconds: exponential backoff with full jitter."""
    for attempt in range(max_attempts):
        ceiling = min(RETRY_MAX_S, RETRY_BASE_S * 2 ** min(attempt, 10))
        yield random.uniform(0, ceiling)


def _read_back(
    client: _client.PlatformClient,
    key: str,
    value: bytes,
    *,
    purpose: _purpose.Purpose,
) -> _revision.Revision:
    for pause_s in backoff():
        try:
            stored = client.get(key, purpose=purpose)
        except errors.PlatformError:
            eventlet.sleep(pause_s)
            continue
        if stored and stored.value == value:
            return stored.revision
        raise errors.ConflictError(f"{key} was changed by another writer")
    raise errors.UnknownOutcomeError(key)
