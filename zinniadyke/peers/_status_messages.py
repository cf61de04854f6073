"""Messages about an agent's state and the orders it executes."""

import enum

from zinniadyke import ids
from zinniadyke.peers import _crash_messages
from zinniadyke.peers import _message


class GateState(enum.Enum):
    """Whether an agent admits requests to its engine."""

    CLOSED = "closed"
    SERVING = "serving"
    DRAINING = "draining"


class GetStatus(_message.Message):
    """Request an agent's status; also serves as the heartbeat.

    Attributes
    ----------
    wait_s
        Long-poll limit, in seconds. The agent answers earlier once its gate
        or version differs from ``gate`` or ``version``.
    gate, version, news
        Last state that the sender knows.
    findings
        What the sender has found out about requests that crash engines.
    """

    wait_s: float = 0.0
    gate: GateState = GateState.CLOSED
    version: str = ""
    news: int = 0
    findings: _crash_messages.SuspectFindings = (
        _crash_messages.SuspectFindings()
    )


class Status(_message.Message):
    """State of an agent.

    Attributes
    ----------
    version
        ``model/version`` that the gate admits; empty for none.
    staged
        ``model/version`` names whose chunks are all verified.
    waiting
        Numeric result code of what keeps the agent waiting; 0 for none.
    news
        Number that changes with each new crash or finding.
    crashes, findings
        Recent crashes of the engine, and what entries have found out.
    """

    host: ids.HostName
    zone: ids.ZoneName
    service: ids.ServiceName
    incarnation: ids.Incarnation
    gate: GateState
    version: str
    staged: list[str]
    running: int
    slots: int
    revision: int
    progress: float = 0.0
    waiting: int = 0
    news: int = 0
    crashes: list[_crash_messages.EngineCrash] = []
    findings: _crash_messages.SuspectFindings = (
        _crash_messages.SuspectFindings()
    )


class Activate(_message.Message):
    """Controller to agent: serve this staged version.

    Attributes
    ----------
    incarnation
        Incarnation of the agent that must execute the order.
    """

    version: str
    fence: ids.FencingNumber
    incarnation: ids.Incarnation


class OrderResult(_message.Message):
    """Agent to controller: result of an order."""

    version: str
    code: int
    detail: str = ""
