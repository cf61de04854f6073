"""Leases in the platform, with fencing numbers that only grow."""

import logging
import random
import time

import eventlet
import msgspec

from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import platform

LOG = logging.getLogger(__name__)

LEASE_PREFIX = "lease/"
TERM_S = 6.0
RENEW_S = 2.0
SAFE_S = 4.0


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Stored form of a lease.

    Attributes
    ----------
    renewals
        Grows with each renewal, so that watchers see that it lives.
    """

    holder: ids.HostName
    incarnation: ids.Incarnation
    fence: ids.FencingNumber
    renewals: int = 0


class Lease:
    """Contends for one lease and tells whether this process may act on it.

    The holder acts only until ``SAFE_S`` after the start of its last
    successful renewal, by its own monotonic clock. Others take over only
    after the record has not changed for ``TERM_S``, by theirs.

    Parameters
    ----------
    key
        Name of the lease.
    """

    def __init__(
        self,
        *,
        client: platform.PlatformClient,
        key: str,
        holder: ids.HostName,
        incarnation: ids.Incarnation,
    ) -> None:
        """Start as not held."""
        self.client = client
        self.key = LEASE_PREFIX + key
        self.holder = holder
        self.incarnation = incarnation
        self.fence = ids.FencingNumber(0)
        self.valid_until = 0.0
        self.seen_revision = -1
        self.seen_at = 0.0

    @property
    def held(self) -> bool:
        """Whether this process may act as the holder now."""
        return time.monotonic() < self.valid_until

    def step(self) -> None:
        """Renew the lease, or take it if it has lapsed."""
        begun = time.monotonic()
        try:
            stored = self.client.get(self.key, purpose=platform.Purpose.LEASE)
            record = _decode(stored)
            if record and record.incarnation == self.incarnation:
                self._write(record, stored.revision, record.fence, begun)
            elif self._lapsed(stored):
                fence = record.fence if record else 0
                revision = stored.revision if stored else None
                self._write(record, revision, fence + 1, begun)
        except errors.ConflictError:
            self.valid_until = 0.0
        except errors.PlatformError as error:
            LOG.info(
                "lease not renewed",
                extra={"lease": self.key, "error": error.message},
            )

    def run(self) -> None:
        """Renew or contend until killed."""
        while True:
            self.step()
            eventlet.sleep(RENEW_S * random.uniform(0.8, 1.0))

    def _lapsed(self, stored: platform.StoredObject | None) -> bool:
        if stored is None:
            return True
        now = time.monotonic()
        if stored.revision != self.seen_revision:
            self.seen_revision = stored.revision
            self.seen_at = now
        return now - self.seen_at >= TERM_S

    def _write(
        self,
        record: LeaseRecord | None,
        revision: int | None,
        fence: int,
        begun: float,
    ) -> None:
        renewals = record.renewals + 1 if record else 0
        wanted = LeaseRecord(
            holder=self.holder,
            incarnation=self.incarnation,
            fence=ids.FencingNumber(fence),
            renewals=renewals,
        )
        self.client.put(
            self.key,
            msgspec.json.encode(wanted),
            purpose=platform.Purpose.LEASE,
            revision=revision,
        )
        self.fence = wanted.fence
        self.valid_until = begun + SAFE_S


def lease_fence(
    client: platform.PlatformClient, key: str
) -> ids.FencingNumber:
    """Read the fencing number that the lease has reached.

    Raises
    ------
    PlatformError
        The platform did not answer.
    """
    stored = client.get(LEASE_PREFIX + key, purpose=platform.Purpose.FENCE)
    record = _decode(stored)
    return record.fence if record else ids.FencingNumber(0)


def _decode(stored: platform.StoredObject | None) -> LeaseRecord | None:
    if stored is None:
        return None
    return msgspec.json.decode(stored.value, type=LeaseRecord)
