"""Permits to take a replica out of service, held in the platform."""

from collections.abc import Iterable

import msgspec

from zinniadyke import ids
from zinniadyke import platform

PERMIT_PREFIX = "permit/"


class Permits(msgspec.Struct, frozen=True, kw_only=True):
    """Stored form of a service's permits.

    Attributes
    ----------
    fence
        Highest fencing number that has written it.
    out
        Host to the incarnation that may be out of service.
    """

    fence: int = 0
    out: dict[str, str] = {}


class PermitBook:
    """Grants and releases the permits of one service.

    Every grant is a conditional update that counts what the platform
    holds, so two holders who both believe that they lead cannot together
    grant more than the floor leaves.

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

    def step(
        self,
        *,
        wanted: dict[str, str],
        done: Iterable[str],
        known: set[str],
        down: set[str],
        floor: int,
        fence: ids.FencingNumber,
    ) -> Permits:
        """Release ``done`` and grant as many of ``wanted`` as may be.

        Parameters
        ----------
        wanted
            Hosts to take out, with their incarnations, in order.
        known
            Targets of the service that the platform lists.
        down
            Hosts that do not serve; taking them out costs nothing.
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
        finished = set(done)

        def change(value: bytes | None) -> bytes | None:
            present = _decode(value)
            if present.fence > fence:
                return None
            out = {
                host: incarnation
                for host, incarnation in present.out.items()
                if host in known and host not in finished
            }
            for host, incarnation in wanted.items():
                serving = len(known - down - out.keys())
                free = host in out or host in down
                if free or serving > floor:
                    out[host] = incarnation
            result = Permits(fence=int(fence), out=out)
            return None if result == present else msgspec.json.encode(result)

        stored = platform.update(
            self.client,
            self.key,
            change,
            purpose=platform.Purpose.PERMIT,
        )
        return _decode(stored.value if stored else None)


def _decode(value: bytes | None) -> Permits:
    if value is None:
        return Permits()
    return msgspec.json.decode(value, type=Permits)
