"""Leases stored in the platform, with increasing fencing numbers."""

import logging
import random

import eventlet
import msgspec

from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import platform
from zinniadyke import uptime

LOG = logging.getLogger(__name__)

LEASE_PREFIX = "lease/"
LEASE_EXPIRY_S = 6.0
RENEW_INTERVAL_S = 2.0
HOLDER_VALIDITY_S = 4.0
# Fencing numbers of a later era of the store are higher than all earlier ones,
# also those whose records were lost when it was restored.
FENCES_PER_ERA = 1 << 32


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Stored form of a lease.

    Attributes
    ----------
    renewals
        Number of renewals. Each one changes the record, which shows
        contenders that the holder is alive.
    """

    holder: ids.HostName
    incarnation: ids.Incarnation
    fence: ids.FencingNumber
    renewals: int = 0


class Lease:
    """Acquires and renews one lease on behalf of this process.

    The holder may act for ``HOLDER_VALIDITY_S`` from the start of its last
    successful renewal. A contender takes over once it has seen the record
    unchanged for ``LEASE_EXPIRY_S``. Each measures by its own steady clock,
    which also counts the time in which its host is suspended.

    A restored store may lack the latest holder. So no lease of an earlier era
    is held or renewed; it is acquired again once it has expired as seen in
    the new era.

    Parameters
    ----------
    key
        Name of the lease, without the key prefix.
    """

    def __init__(
        self,
        *,
        client: platform.PlatformClient,
        key: str,
        holder: ids.HostName,
        incarnation: ids.Incarnation,
    ) -> None:
        """Create the lease; it is not held yet."""
        self.client = client
        self.key = LEASE_PREFIX + key
        self.holder = holder
        self.incarnation = incarnation
        self.fence = ids.FencingNumber(0)
        self.valid_until = 0.0
        self.seen_revision: platform.Revision | None = None
        self.seen_at = 0.0
        self.era: int | None = None
        self.restored_at = float("-inf")

    @property
    def held(self) -> bool:
        """Whether this process may act as the holder now."""
        return (
            uptime.now_s() < self.valid_until and self.era == self.client.era
        )

    def renew_or_acquire(self) -> None:
        """Renew the lease if this process holds it, or take an expired one."""
        started_at = uptime.now_s()
        try:
            stored = self.client.get(self.key, purpose=platform.Purpose.LEASE)
            self._record_era()
            record = _decode(stored)
            if (
                record
                and record.incarnation == self.incarnation
                and record.fence >= first_fence(self.era)
            ):
                self._write(record, stored.revision, record.fence, started_at)
            elif self._is_expired(stored):
                fence = record.fence if record else 0
                revision = stored.revision if stored else None
                fence = max(fence, self.fence, first_fence(self.era))
                self._write(record, revision, fence + 1, started_at)
        except errors.ConflictError:
            self.valid_until = 0.0
        except errors.PlatformError as error:
            LOG.info(
                "lease not renewed",
                extra={"lease": self.key, "error": error.message},
            )

    def run(self) -> None:
        """Renew or try to acquire the lease until the task is killed."""
        while True:
            self.renew_or_acquire()
            eventlet.sleep(RENEW_INTERVAL_S * random.uniform(0.8, 1.0))

    def _record_era(self) -> None:
        """Give the lease up if the store was restored."""
        before, self.era = self.era, self.client.era
        if before in (None, self.era):
            return
        self.restored_at = uptime.now_s()
        if self.valid_until > self.restored_at:
            LOG.warning(
                "lease given up, the store was restored",
                extra={"lease": self.key, "era": self.era},
            )
        self.valid_until = 0.0

    def _is_expired(self, stored: platform.StoredObject | None) -> bool:
        now = uptime.now_s()
        if stored is None:
            return now - self.restored_at >= LEASE_EXPIRY_S
        if stored.revision != self.seen_revision:
            self.seen_revision = stored.revision
            self.seen_at = now
        return now - self.seen_at >= LEASE_EXPIRY_S

    def _write(
        self,
        record: LeaseRecord | None,
        revision: int | None,
        fence: int,
        started_at: float,
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
        self.valid_until = started_at + HOLDER_VALIDITY_S


def first_fence(era: int) -> ids.FencingNumber:
    """Return a number above all fencing numbers of earlier eras."""
    return ids.FencingNumber(era * FENCES_PER_ERA)


def lease_fence(
    client: platform.PlatformClient, key: str
) -> ids.FencingNumber:
    """Read the current fencing number of a lease.

    If it was never held in the store's era, that of the era's start.

    Raises
    ------
    PlatformError
        The platform did not answer.
    """
    stored = client.get(LEASE_PREFIX + key, purpose=platform.Purpose.FENCE)
    record = _decode(stored)
    floor = first_fence(client.era)
    return max(record.fence, floor) if record else floor


def _decode(stored: platform.StoredObject | None) -> LeaseRecord | None:
    if stored is None:
        return None
    return msgspec.json.decode(stored.value, type=LeaseRecord)
