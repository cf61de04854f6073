"""Messages about an agent's state and orders."""

import enum

from zinniadyke import ids
from zinniadyke.peers import _message


class GateState(enum.Enum):
    """Whether an agent lets requests through to its engine."""

    CLOSED = "closed"
    SERVING = "serving"
    DRAINING = "draining"


class GetStatus(_message.Message):
    """Ask an agent for its status; serves as the heartbeat.

    Attributes
    ----------
    wait_s
        How long the agent may hold the answer, in seconds; it answers
        earlier once gate or version differ from those known.
    gate, version
        What the one who asks knows.
    """

    wait_s: float = 0.0
    gate: GateState = GateState.CLOSED
    version: str = ""


class Status(_message.Message):
    """State of an agent.

    Attributes
    ----------
    version
        ``model/version`` that the gate admits; empty for none.
    staged
        ``model/version`` names whose chunks are all verified.
    waiting
        Number of the result code for which the agent waits; 0 for none.
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


class Activate(_message.Message):
    """Controller to agent: serve this staged version.

    Attributes
    ----------
    incarnation
        The life of the agent that the order is meant for.
    """

    version: str
    fence: ids.FencingNumber
    incarnation: ids.Incarnation


class OrderResult(_message.Message):
    """Agent to controller: how an order ended."""

    version: str
    code: int
    detail: str = ""
