"""Serves chunks to peers."""

import eventlet

from zinniadyke.agent import _stager
from zinniadyke import ids
from zinniadyke import peers
from zinniadyke import weights

MAX_SILENT_WAIT_S = 0.2
STAGE_START_TIMEOUT_S = 20.0
STAGE_START_POLL_S = 0.05


class ChunkServer:
    """Serves verified chunks to peers at a limited upload rate.

    Parameters
    ----------
    stager
        Provides the stages and manifests.
    upload_bucket
        Limits the bytes per second that are sent to peers.
    """

    def __init__(
        self,
        *,
        stager: _stager.Stager,
        upload_bucket: weights.TokenBucket,
        incarnation: ids.Incarnation,
    ) -> None:
        """Create a chunk server for the stager's versions."""
        self.stager = stager
        self.upload_bucket = upload_bucket
        self.incarnation = incarnation

    def answer(self, inbound: peers.InboundMessage) -> None:
        """Answer GetChunk when the chunk is available.

        Until then a ChunkPending keeps the peer's request from timing out,
        also when an available chunk waits for the upload bucket.
        """
        message = inbound.message
        name, index = message.version, message.index
        data = self.stager.held_chunk(name, index)
        pending_sent = False
        if data is None and message.wait and self.stager.may_stage(name):
            self._reply_pending(inbound)
            pending_sent = True
            data = self._wait_for_chunk(name, index)
        if data is None:
            inbound.reply(peers.ChunkMissing(version=name, index=index))
            return
        self.stager.note_used(name)
        wait_s = self.upload_bucket.charge(len(data))
        if wait_s > MAX_SILENT_WAIT_S and not pending_sent:
            self._reply_pending(inbound)
        eventlet.sleep(wait_s)
        inbound.reply(peers.ChunkFound(version=name, index=index), data)

    def _reply_pending(self, inbound: peers.InboundMessage) -> None:
        inbound.reply(
            peers.ChunkPending(
                version=inbound.message.version,
                index=inbound.message.index,
                incarnation=self.incarnation,
            )
        )

    def _wait_for_chunk(self, name: str, index: int) -> bytes | None:
        with eventlet.Timeout(STAGE_START_TIMEOUT_S, False):
            while self.stager.may_stage(name):
                stage = self.stager.stages.get(name)
                if stage is not None:
                    break
                eventlet.sleep(STAGE_START_POLL_S)
        stage = self.stager.stages.get(name)
        return stage.wait(index) if stage else None
