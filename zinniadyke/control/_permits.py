"""Permits to take a replica out of service, stored in the platform."""

from collections.abc import Callable

import msgspec

from zinniadyke import ids
from zinniadyke import platform

PERMIT_PREFIX = "permit/"


class Permit(msgspec.Struct, frozen=True, kw_only=True):
    """Permission for one agent to stop serving in order to load a version.

    Attributes
    ----------
    version
        ``model/version`` that the agent may load.
    """

    incarnation: ids.Incarnation
    version: str


class Permits(msgspec.Struct, frozen=True, kw_only=True):
    """Stored record of a service's permits.

    Attributes
    ----------
    fence
        Highest fencing number that has written the record.
    era
        Era of the store in which the permits were granted; in a later one,
        after a restoration, they are void.
    out
        Permit of each host that may be out of service.
    """

    fence: int = 0
    era: int = platform.NO_ERA
    out: dict[str, Permit] = {}


class PermitAllocator:
    """Grants and releases the permits of one service.

    Every grant is a compare-and-swap on the stored permits and counts all
    of them. Two controllers that both believe they hold the lease therefore
    cannot grant more permits together than the floor allows.

    A host that does not serve needs no permit and gets none. If it served
    again before the order arrived, such a permit would let it stop even
    where the floor does not allow that.

    Parameters
    ----------
    service
        The service whose replicas the permits are for.
    """

    def __init__(
        self,
        *,
        client: platform.PlatformClient,
        service: ids.ServiceName,
    ) -> None:
        """Create an allocator for the service."""
        self.client = client
        self.key = PERMIT_PREFIX + service

    def reconcile(
        self,
        *,
        wanted: dict[str, Permit],
        can_release: Callable[[str, Permit], bool],
        known: set[str],
        down: set[str],
        floor: int,
        fence: ids.FencingNumber,
    ) -> Permits:
        """Release permits no longer needed and grant ``wanted`` ones that fit.

        Parameters
        ----------
        wanted
            Permits of the hosts to take out of service, in order of priority.
        can_release
            Returns whether a host no longer needs its permit.
        known
            Names of the service's targets that the platform lists.
        down
            Names of the hosts that do not serve.
        floor
            Replicas that must keep serving.
        fence
            Fencing number of the caller's lease. Permits that were written
            with a higher one stay as they are.

        Returns
        -------
        Permits
            The permits that the platform now stores.

        Raises
        ------
        PlatformError
            The platform did not answer; do not assume any new permit.
        """

        def change(value: bytes | None) -> bytes | None:
            present = _valid_permits(value, self.client.era)
            if present.fence > fence:
                return None
            out = {
                host: permit
                for host, permit in present.out.items()
                if host in known and not can_release(host, permit)
            }
            for host, permit in wanted.items():
                if host in down:
                    continue
                serving = len(known - down - out.keys())
                if host in out or serving > floor:
                    out[host] = permit
            result = Permits(fence=int(fence), era=self.client.era, out=out)
            return None if result == present else msgspec.json.encode(result)

        stored = platform.update(
            self.client,
            self.key,
            change,
            purpose=platform.Purpose.PERMIT,
        )
        return _valid_permits(
            stored.value if stored else None, self.client.era
        )


def read_permit(
    client: platform.PlatformClient,
    service: ids.ServiceName,
    host: ids.HostName,
) -> Permit | None:
    """Return the permit of a host, None if it has none.

    Raises
    ------
    PlatformError
        The platform did not answer.
    """
    stored = client.get(
        PERMIT_PREFIX + service, purpose=platform.Purpose.PERMIT
    )
    permits = _valid_permits(stored.value if stored else None, client.era)
    return permits.out.get(host)


def _valid_permits(value: bytes | None, era: int) -> Permits:
    """Decode permits without those of an earlier era of the store."""
    if value is None:
        return Permits(era=era)
    permits = msgspec.json.decode(value, type=Permits)
    if permits.era == era:
        return permits
    return Permits(fence=permits.fence, era=era)
