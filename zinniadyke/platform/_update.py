"""Conditional updates whose outcome is settled after a lost answer."""

from collections.abc import Callable
import random

import eventlet

from zinniadyke import errors
from zinniadyke.platform import _client
from zinniadyke.platform import _purpose
from zinniadyke.platform import _records

RETRY_BASE_S = 0.05
RETRY_CAP_S = 1.0
MAX_CONFLICTS = 50


def compare_and_swap(
    client: _client.PlatformClient,
    key: str,
    value: bytes,
    *,
    purpose: _purpose.Purpose,
    revision: int | None,
    deadline_s: float,
) -> int:
    """Write conditionally and find out whether the write took effect.

    An unclear write is repeated with the same condition. It then either
    succeeds, or conflicts; after a conflict the stored bytes tell whether
    the earlier try took effect. ``value`` must therefore be unique to this
    write, for example by a change id inside it.

    Raises
    ------
    ConflictError
        Another write came first; this one never takes effect.
    UnknownOutcomeError
        The platform stayed unreachable for ``deadline_s`` seconds.
    """
    clear = True
    with eventlet.Timeout(deadline_s, False):
        for pause_s in backoff():
            try:
                return client.put(
                    key, value, purpose=purpose, revision=revision
                )
            except errors.ConflictError:
                if clear:
                    raise
                return _read_back(client, key, value, purpose=purpose)
            except errors.PlatformError:
                clear = False
            eventlet.sleep(pause_s)
    raise errors.UnknownOutcomeError(f"{key}: the platform did not answer")


def update(
    client: _client.PlatformClient,
    key: str,
    change: Callable[[bytes | None], bytes | None],
    *,
    purpose: _purpose.Purpose,
    deadline_s: float = 10.0,
) -> _records.StoredObject | None:
    """Apply ``change`` to an object, again after each conflict.

    Parameters
    ----------
    change
        Takes the present bytes, or None, and returns the wanted bytes, or
        None when nothing is to be written.

    Returns
    -------
    StoredObject or None
        The object as it now stands.

    Raises
    ------
    PlatformError
        The platform did not answer the read.
    ConflictError
        Other writers kept coming first.
    UnknownOutcomeError
        The write's outcome could not be settled.
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
    raise errors.ConflictError(f"{key}: too many writers")


def backoff(tries: int = 1 << 30):
    """Yield pauses in seconds that grow and are spread by full jitter."""
    for number in range(tries):
        ceiling = min(RETRY_CAP_S, RETRY_BASE_S * 2 ** min(number, 10))
        yield random.uniform(0, ceiling)


def _read_back(
    client: _client.PlatformClient,
    key: str,
    value: bytes,
    *,
    purpose: _purpose.Purpose,
) -> int:
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
