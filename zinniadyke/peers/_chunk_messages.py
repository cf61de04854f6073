"""Messages between agents about chunks of weights."""

from zinniadyke import ids
from zinniadyke.peers import _message


class GetChunk(_message.Message):
    """Request one verified chunk of a version from a peer.

    Attributes
    ----------
    wait
        Whether the peer may delay its answer until it has the chunk.
    """

    version: str
    index: int
    wait: bool = True


class ChunkPending(_message.Message):
    """The peer is alive and will send the chunk later."""

    version: str
    index: int
    incarnation: ids.Incarnation


class ChunkFound(_message.Message):
    """The payload holds the chunk."""

    version: str
    index: int


class ChunkMissing(_message.Message):
    """The peer neither has the chunk nor will send it later."""

    version: str
    index: int
