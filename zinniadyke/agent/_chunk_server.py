"""Answers peers who ask for chunks."""

import eventlet

from zinniadyke.agent import _stager
from zinniadyke import ids
from zinniadyke import peers
from zinniadyke import weights

PROMISE_AFTER_S = 0.2
APPEAR_TIMEOUT_S = 20.0
APPEAR_POLL_S = 0.05


class ChunkServer:
    """Gives verified chunks to peers, at the pace of the link up.

    Parameters
    ----------
    stager
        Holds the stages and manifests.
    upload_bucket
        Pacing of bulk bytes.
    """

    def __init__(
        self,
        *,
        stager: _stager.Stager,
        upload_bucket: weights.TokenBucket,
        incarnation: ids.Incarnation,
    ) -> None:
        """Hold the parts."""
        self.stager = stager
        self.upload_bucket = upload_bucket
        self.incarnation = incarnation

    def answer(self, inbound: peers.Inbound) -> None:
        """Answer GetChunk: at once, or once the chunk has arrived.

        An asker hears within its time-out that the chunk will come, also
        when the chunk is here and waits for the link.
        """
        message = inbound.message
        name, index = message.version, message.index
        data = self.stager.held_chunk(name, index)
        promised = False
        if data is None and message.wait and self.stager.may_stage(name):
            self._promise(inbound)
            promised = True
            data = self._wait_chunk(name, index)
        if data is None:
            inbound.reply(peers.ChunkMissing(version=name, index=index))
            return
        self.stager.note_used(name)
        wait_s = self.upload_bucket.charge(len(data))
        if wait_s > PROMISE_AFTER_S and not promised:
            self._promise(inbound)
        eventlet.sleep(wait_s)
        inbound.reply(peers.ChunkFound(version=name, index=index), data)

    def _promise(self, inbound: peers.Inbound) -> None:
        inbound.reply(
            peers.ChunkPending(
                version=inbound.message.version,
                index=inbound.message.index,
                incarnation=self.incarnation,
            )
        )

    def _wait_chunk(self, name: str, index: int) -> bytes | None:
        with eventlet.Timeout(APPEAR_TIMEOUT_S, False):
            while self.stager.may_stage(name):
                stage = self.stager.stages.get(name)
                if stage is not None:
                    break
                eventlet.sleep(APPEAR_POLL_S)
        stage = self.stager.stages.get(name)
        return stage.wait(index) if stage else None
