"""Messages between entry and agent about requests."""

from zinniadyke import ids
from zinniadyke.peers import _message


class Run(_message.Message):
    """Entry to agent: run this attempt of a request.

    Attributes
    ----------
    incarnation
        Incarnation of the agent that must run the attempt.
    version
        Version that the entry admitted the request for; empty for a plain
        service.
    timeout_s
        Time left for the answer, in seconds.
    suspects
        Content of the request and parts of its prompt.
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
    suspects: list[ids.Suspect] = []


class Begin(_message.Message):
    """Agent to entry: status and content type of the engine's answer.

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
    """Agent to entry: part of the answer's body, in the payload.

    Attributes
    ----------
    sequence
        Index of this message within the attempt, from 0.
    """

    request_id: ids.RequestId
    attempt: int
    incarnation: ids.Incarnation
    sequence: int


class End(_message.Message):
    """Agent to entry: the attempt has ended; this is the last message.

    Attributes
    ----------
    sequence
        Count of ``Frames`` messages sent for the attempt.
    code
        Numeric result code.
    running
        Attempts in progress at the agent, less one for the attempt that ends.
    """

    request_id: ids.RequestId
    attempt: int
    incarnation: ids.Incarnation
    sequence: int
    code: int
    running: int = 0
    detail: str = ""


class CloseAttempt(_message.Message):
    """Entry to agent: stop this attempt if it runs, and never start it."""

    request_id: ids.RequestId
    attempt: int


class AttemptClosed(_message.Message):
    """Agent to entry: whether the closed attempt had started."""

    request_id: ids.RequestId
    attempt: int
    incarnation: ids.Incarnation
    started: bool
