"""Typed messages between processes, encoded as MessagePack."""

import enum

import msgspec

from zinniadyke import ids
from zinniadyke import platform


class Message(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Base of all messages; the class name is the tag on the wire."""


class GateState(enum.Enum):
    """Whether an agent lets requests through to its engine."""

    CLOSED = "closed"
    SERVING = "serving"
    DRAINING = "draining"


class Run(Message):
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


class Begin(Message):
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


class Frames(Message):
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


class End(Message):
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


class CloseAttempt(Message):
    """Entry to agent: never start this attempt; stop it if it runs."""

    request_id: ids.RequestId
    attempt: int


class AttemptClosed(Message):
    """Agent to entry: whether the closed attempt had started."""

    request_id: ids.RequestId
    attempt: int
    incarnation: ids.Incarnation
    started: bool


class GetStatus(Message):
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


class Status(Message):
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


class GetChunk(Message):
    """Ask a peer for one verified chunk of a version.

    Attributes
    ----------
    wait
        Whether the peer may answer later, once it has the chunk.
    """

    version: str
    index: int
    wait: bool = True


class ChunkPending(Message):
    """The peer lives, does not have the chunk yet, and will send it."""

    version: str
    index: int
    incarnation: ids.Incarnation


class ChunkFound(Message):
    """The chunk is in the payload."""

    version: str
    index: int


class ChunkMissing(Message):
    """The peer does not hold and does not fetch the version."""

    version: str
    index: int


class Activate(Message):
    """Controller to agent: serve this staged version.

    Attributes
    ----------
    incarnation
        The life of the agent that the order is meant for.
    """

    version: str
    fence: ids.FencingNumber
    incarnation: ids.Incarnation


class OrderResult(Message):
    """Agent to controller: how an order ended."""

    version: str
    code: int
    detail: str = ""


class Delta(Message):
    """Difference between two revisions of the configuration.

    Attributes
    ----------
    base
        Revision that it applies to; 0 for a whole configuration.
    changed
        Object key to its encoded document.
    """

    base: int
    revision: int
    changed: dict[str, bytes]
    removed: list[str]


class Sync(Message):
    """Child to parent: send what is newer than this.

    Attributes
    ----------
    hosts_digest
        Digest of the host list that the child has.
    wait_s
        How long the parent may hold the answer, in seconds.
    """

    host: ids.HostName
    revision: int
    hosts_digest: str
    wait_s: float


class SyncReply(Message):
    """Parent to child: what is newer, if anything."""

    delta: Delta | None = None
    hosts: list[platform.Host] | None = None


AnyMessage = (
    Run
    | Begin
    | Frames
    | End
    | CloseAttempt
    | AttemptClosed
    | GetStatus
    | Status
    | GetChunk
    | ChunkPending
    | ChunkFound
    | ChunkMissing
    | Activate
    | OrderResult
    | Sync
    | SyncReply
)

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(AnyMessage).decode
