"""Messages and connections between zinniadyke processes."""

from zinniadyke.peers._chunk_messages import ChunkFound
from zinniadyke.peers._chunk_messages import ChunkMissing
from zinniadyke.peers._chunk_messages import ChunkPending
from zinniadyke.peers._chunk_messages import GetChunk
from zinniadyke.peers._connection import Call
from zinniadyke.peers._connection import PeerConnection
from zinniadyke.peers._crash_messages import EngineCrash
from zinniadyke.peers._crash_messages import SuspectFindings
from zinniadyke.peers._limit_messages import TakeToken
from zinniadyke.peers._limit_messages import TokenTaken
from zinniadyke.peers._message import Message
from zinniadyke.peers._request_messages import AttemptClosed
from zinniadyke.peers._request_messages import Begin
from zinniadyke.peers._request_messages import CloseAttempt
from zinniadyke.peers._request_messages import End
from zinniadyke.peers._request_messages import Frames
from zinniadyke.peers._request_messages import Run
from zinniadyke.peers._server import InboundMessage
from zinniadyke.peers._server import PeerServer
from zinniadyke.peers._status_messages import Activate
from zinniadyke.peers._status_messages import GateState
from zinniadyke.peers._status_messages import GetStatus
from zinniadyke.peers._status_messages import OrderResult
from zinniadyke.peers._status_messages import Status
from zinniadyke.peers._sync_messages import Delta
from zinniadyke.peers._sync_messages import Sync
from zinniadyke.peers._sync_messages import SyncReply

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
    "EngineCrash",
    "Frames",
    "GateState",
    "GetChunk",
    "GetStatus",
    "InboundMessage",
    "Message",
    "OrderResult",
    "PeerConnection",
    "PeerServer",
    "Run",
    "Status",
    "SuspectFindings",
    "Sync",
    "SyncReply",
    "TakeToken",
    "TokenTaken",
]
