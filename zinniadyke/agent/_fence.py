"""Fencing against orders of former controllers and former agents."""

import logging

import msgspec

from zinniadyke import control
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import platform

LOG = logging.getLogger(__name__)

AGENT_PREFIX = "agent/"


class AgentRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Stored record of the current agent of a host.

    Attributes
    ----------
    number
        Count of the agents that have registered for the host.
    incarnation
        Incarnation of the agent that registered last.
    """

    number: int
    incarnation: ids.Incarnation


class Fence:
    """Checks fencing numbers, the agent's registration and its permit.

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
        """Create a fence that has seen no fencing number."""
        self.client = client
        self.host = host
        self.service = service
        self.key = AGENT_PREFIX + host
        self.lease_key = control.lease_key(service)
        self.incarnation = incarnation
        self.highest_fence: int | None = None
        self.number: int | None = None

    def check_fencing_number(self, fence: ids.FencingNumber) -> None:
        """Refuse a fencing number below the highest one seen so far.

        Before the first order, the service's lease provides that number.
        Numbers of an earlier era of the store are below those of the present.

        Raises
        ------
        OrderRefusedError
            The number is too low.
        PlatformError
            The lease cannot be read.
        """
        if self.highest_fence is None:
            self.highest_fence = control.lease_fence(
                self.client, self.lease_key
            )
        self.highest_fence = max(
            self.highest_fence, control.first_fence(self.client.era)
        )
        if fence < self.highest_fence:
            raise errors.OrderRefusedError(
                f"fencing number is {fence}, expected at least"
                f" {self.highest_fence}",
                code=errors.ResultCode.STALE_FENCE,
            )
        self.highest_fence = fence

    def register(self) -> None:
        """Register this agent as the current one of its host.

        Raises
        ------
        OrderRefusedError
            A newer agent has registered.
        PlatformError
            The platform did not answer.
        """

        def change(value: bytes | None) -> bytes | None:
            previous = _decode(value)
            if previous and previous.incarnation == self.incarnation:
                self.number = previous.number
                return None
            if previous and self._is_older_than(previous):
                raise errors.OrderRefusedError(
                    code=errors.ResultCode.STALE_INCARNATION
                )
            if self.number is None:
                self.number = previous.number + 1 if previous else 1
            return msgspec.json.encode(
                AgentRecord(number=self.number, incarnation=self.incarnation)
            )

        platform.update(
            self.client, self.key, change, purpose=platform.Purpose.FENCE
        )

    def check_agent_current(self) -> None:
        """Check that no newer agent has registered for the host.

        The first call registers this agent. So does one that finds no record
        or that of an earlier agent, as in a store that was restored.

        Raises
        ------
        OrderRefusedError
            A newer agent is the current one.
        PlatformError
            The platform did not answer.
        """
        stored = self.client.get(self.key, purpose=platform.Purpose.FENCE)
        record = _decode(stored.value if stored else None)
        if record is not None and record.incarnation == self.incarnation:
            self.number = record.number
            return
        if record is not None and self._is_older_than(record):
            raise errors.OrderRefusedError(
                code=errors.ResultCode.STALE_INCARNATION
            )
        if self.number is not None:
            LOG.warning(
                "agent registered again, its record was gone",
                extra={"host": self.host, "number": self.number},
            )
        self.register()

    def _is_older_than(self, record: AgentRecord) -> bool:
        """Whether a record names an agent that registered after this one."""
        return self.number is not None and record.number >= self.number

    def check_permit(self, version: str) -> None:
        """Check that this agent has a permit to stop serving.

        The permit may have been released while the order was delayed.

        Raises
        ------
        OrderRefusedError
            The platform has no permit of this agent for ``version``.
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
