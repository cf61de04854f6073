"""MessagePack encoder and decoder of the messages."""

import msgspec

from zinniadyke.peers import _chunk_messages
from zinniadyke.peers import _limit_messages
from zinniadyke.peers import _request_messages
from zinniadyke.peers import _status_messages
from zinniadyke.peers import _sync_messages

AnyMessage = (
    _request_messages.Run
    | _request_messages.Begin
    | _request_messages.Frames
    | _request_messages.End
    | _request_messages.CloseAttempt
    | _request_messages.AttemptClosed
    | _status_messages.GetStatus
    | _status_messages.Status
    | _status_messages.Activate
    | _status_messages.OrderResult
    | _chunk_messages.GetChunk
    | _chunk_messages.ChunkPending
    | _chunk_messages.ChunkFound
    | _chunk_messages.ChunkMissing
    | _sync_messages.Sync
    | _sync_messages.SyncReply
    | _limit_messages.TakeToken
    | _limit_messages.TokenTaken
)

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(AnyMessage).decode
