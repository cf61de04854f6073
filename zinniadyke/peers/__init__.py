"""Messages and connections between the system's own processes."""

from zinniadyke.peers._connection import Call
from zinniadyke.peers._connection import PeerConnection
from zinniadyke.peers._messages import Activate
from zinniadyke.peers._messages import AttemptClosed
from zinniadyke.peers._messages import Begin
from zinniadyke.peers._messages import ChunkFound
from zinniadyke.peers._messages import ChunkMissing
from zinniadyke.peers._messages import ChunkPending
from zinniadyke.peers._messages import CloseAttempt
from zinniadyke.peers._messages import Delta
from zinniadyke.peers._messages import End
from zinniadyke.peers._messages import Frames
from zinniadyke.peers._messages import GateState
from zinniadyke.peers._messages import GetChunk
from zinniadyke.peers._messages import GetStatus
from zinniadyke.peers._messages import Message
from zinniadyke.peers._messages import OrderResult
from zinniadyke.peers._messages import Run
from zinniadyke.peers._messages import Status
from zinniadyke.peers._messages import Sync
from zinniadyke.peers._messages import SyncReply
from zinniadyke.peers._server import Inbound
from zinniadyke.peers._server import PeerServer

__all__ = [
    "Activate",
    "AttemptClosed",
    "Begin",
    "Call",
    "ChunkFound",
    "ChunkMissing",
    "ChunkPending",
    "CloseAttempt",
    "Delta",
    "End",
    "Frames",
    "GateState",
    "GetChunk",
    "GetStatus",
    "Inbound",
    "Message",
    "OrderResult",
    "PeerConnection",
    "PeerServer",
    "Run",
    "Status",
    "Sync",
    "SyncReply",
]
