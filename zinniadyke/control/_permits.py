"""Permits to take a replica out of service, held in the platform."""

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
        ``model/version`` that it may load.
    """

    incarnation: ids.Incarnation
    version: str


class Permits(msgspec.Struct, frozen=True, kw_only=True):
    """Stored form of a service's permits.

    Attributes
    ----------
    fence
        Highest fencing number that has written it.
    out
        Host to its permit.
    """

    fence: int = 0
    out: dict[str, Permit] = {}


class PermitAllocator:
    """Grants and releases the permits of one service.

    Every grant is a conditional update that counts what the platform
    holds, so two holders who both believe that they lead cannot together
    grant more than the floor leaves. A host that does not serve needs no
    permit, and gets none: it could serve again before an order arrives.

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
        """Hold the client."""
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
        """Release what is done and grant as many of ``wanted`` as may be.

        Parameters
        ----------
        wanted
            Hosts to take out of service, with their permits, in order.
        can_release
            Tells whether a host no longer needs the permit that it has.
        known
            Targets of the service that the platform lists.
        down
            Hosts that do not serve.
        floor
            Replicas that must keep serving.

        Returns
        -------
        Permits
            What the platform now holds.

        Raises
        ------
        PlatformError
            The platform did not answer; nothing new may be assumed.
        """

        def change(value: bytes | None) -> bytes | None:
            present = _decode(value)
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
            result = Permits(fence=int(fence), out=out)
            return None if result == present else msgspec.json.encode(result)

        stored = platform.update(
            self.client,
            self.key,
            change,
            purpose=platform.Purpose.PERMIT,
        )
        return _decode(stored.value if stored else None)


def read_permit(
    client: platform.PlatformClient,
    service: ids.ServiceName,
    host: ids.HostName,
) -> Permit | None:
    """Return the permit that a host has.

    Raises
    ------
    PlatformError
        The platform did not answer.
    """
    stored = client.get(
        PERMIT_PREFIX + service, purpose=platform.Purpose.PERMIT
    )
    return _decode(stored.value if stored else None).out.get(host)


def _decode(value: bytes | None) -> Permits:
    if value is None:
        return Permits()
    return msgspec.json.decode(value, type=Permits)
