"""Refuses orders of former controllers and of former agents."""

import msgspec

from zinniadyke import control
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import platform

AGENT_PREFIX = "agent/"


class AgentRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Stored form of which agent is the current one on a host."""

    number: int
    incarnation: ids.Incarnation


class Fence:
    """Checks the order's fencing number and this agent's incarnation.

    Parameters
    ----------
    host
        Name of the agent's host.
    service
        The service whose controller may give orders.
    """

    def __init__(
        self,
        *,
        client: platform.PlatformClient,
        host: ids.HostName,
        service: ids.ServiceName,
        incarnation: ids.Incarnation,
    ) -> None:
        """Start with an unknown floor."""
        self.client = client
        self.host = host
        self.service = service
        self.key = AGENT_PREFIX + host
        self.lease_key = control.lease_key(service)
        self.incarnation = incarnation
        self.highest: int | None = None
        self.registered = False

    def check_number(self, fence: ids.FencingNumber) -> None:
        """Refuse a number below the highest that was seen.

        Before the first order the floor is read from the platform.

        Raises
        ------
        OrderRefusedError
            The number is too low.
        PlatformError
            The floor cannot be read.
        """
        if self.highest is None:
            self.highest = control.lease_fence(self.client, self.lease_key)
        if fence < self.highest:
            raise errors.OrderRefusedError(
                f"fencing number {fence} is below {self.highest}",
                code=errors.ResultCode.STALE_FENCE,
            )
        self.highest = fence

    def register(self) -> None:
        """Become the current agent of the host.

        Raises
        ------
        PlatformError
            The platform did not answer.
        """

        def change(value: bytes | None) -> bytes:
            before = _decode(value)
            if before and before.incarnation == self.incarnation:
                return None
            record = AgentRecord(
                number=before.number + 1 if before else 1,
                incarnation=self.incarnation,
            )
            return msgspec.json.encode(record)

        platform.update(
            self.client, self.key, change, purpose=platform.Purpose.FENCE
        )
        self.registered = True

    def check_current(self) -> None:
        """Refuse to act if a newer agent has registered for the host.

        Raises
        ------
        OrderRefusedError
            A newer agent is current.
        PlatformError
            The platform did not answer.
        """
        if not self.registered:
            self.register()
        stored = self.client.get(self.key, purpose=platform.Purpose.FENCE)
        record = _decode(stored.value if stored else None)
        if record is None or record.incarnation != self.incarnation:
            raise errors.OrderRefusedError(
                code=errors.ResultCode.STALE_INCARNATION
            )

    def check_permit(self, version: str) -> None:
        """Refuse to stop serving without this agent's permit.

        An order may have been on its way for long, and its permit have
        been released since.

        Raises
        ------
        OrderRefusedError
            The platform holds no such permit.
        PlatformError
            The platform did not answer.
        """
        held = control.read_permit(self.client, self.service, self.host)
        needed = control.Permit(incarnation=self.incarnation, version=version)
        if held != needed:
            raise errors.OrderRefusedError(
                code=errors.ResultCode.WAITING_FLOOR
            )


def _decode(value: bytes | None) -> AgentRecord | None:
    if value is None:
        return None
    return msgspec.json.decode(value, type=AgentRecord)
