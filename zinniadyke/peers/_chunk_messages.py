"""Messages about chunks of weights: agent and agent."""

from zinniadyke import ids
from zinniadyke.peers import _message


class GetChunk(_message.Message):
    """Ask a peer for one verified chunk of a version.

    Attributes
    ----------
    wait
        Whether the peer may answer later, once it has the chunk.
    """

    version: str
    index: int
    wait: bool = True


class ChunkPending(_message.Message):
    """The peer lives, does not have the chunk yet, and will send it."""

    version: str
    index: int
    incarnation: ids.Incarnation


class ChunkFound(_message.Message):
    """The chunk is in the payload."""

    version: str
    index: int


class ChunkMissing(_message.Message):
    """The peer does not hold and does not fetch the version."""

    version: str
    index: int
