"""Messages about requests: entry and agent."""

from zinniadyke import ids
from zinniadyke.peers import _message


class Run(_message.Message):
    """Entry to agent: run this attempt of a request.

    Attributes
    ----------
    incarnation
        The life of the agent that the attempt is meant for.
    version
        The version that the entry admitted; empty for a plain service.
    timeout_s
        Time left for the answer, in seconds.
    """

    request_id: ids.RequestId
    attempt: int
    incarnation: ids.Incarnation
    workspace: ids.WorkspaceName
    version: str
    method: str
    path: str
    headers: dict[str, str]
    stream: bool
    timeout_s: float


class Begin(_message.Message):
    """Agent to entry: the engine's answer begins.

    Attributes
    ----------
    status
        HTTP status of the engine's answer.
    """

    request_id: ids.RequestId
    attempt: int
    incarnation: ids.Incarnation
    version: str
    status: int
    content_type: str


class Frames(_message.Message):
    """Agent to entry: parts of the answer, in the payload.

    Attributes
    ----------
    sequence
        Number of this message in the attempt, from 0.
    """

    request_id: ids.RequestId
    attempt: int
    incarnation: ids.Incarnation
    sequence: int


class End(_message.Message):
    """Agent to entry: the attempt has ended; nothing follows.

    Attributes
    ----------
    sequence
        Number of Frames messages that were sent.
    code
        Number of the result code.
    running
        Attempts that are in progress at the agent.
    """

    request_id: ids.RequestId
    attempt: int
    incarnation: ids.Incarnation
    sequence: int
    code: int
    running: int = 0
    detail: str = ""


class CloseAttempt(_message.Message):
    """Entry to agent: never start this attempt; stop it if it runs."""

    request_id: ids.RequestId
    attempt: int


class AttemptClosed(_message.Message):
    """Agent to entry: whether the closed attempt had started."""

    request_id: ids.RequestId
    attempt: int
    incarnation: ids.Incarnation
    started: bool
