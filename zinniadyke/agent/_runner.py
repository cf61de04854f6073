"""Runs admitted attempts at the engine and relays the answers."""

import logging

import eventlet

from zinniadyke.agent import _admission_gate
from zinniadyke import engine
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import peers

LOG = logging.getLogger(__name__)


class Runner:
    """Answers Run and CloseAttempt messages.

    Parameters
    ----------
    client
        The engine or service beside the agent.
    """

    def __init__(
        self,
        *,
        gate: _admission_gate.AdmissionGate,
        client: engine.EngineClient,
        incarnation: ids.Incarnation,
    ) -> None:
        """Hold the parts."""
        self.gate = gate
        self.client = client
        self.incarnation = incarnation
        self.verifies = False
        self.verify_version = lambda version: True

    def run(self, inbound: peers.Inbound) -> None:
        """Run one attempt; its last message is always an End."""
        message = inbound.message
        key = _admission_gate.AttemptKey(
            request_id=message.request_id, attempt=message.attempt
        )
        try:
            self._check_incarnation(message)
            self.gate.admit(key, message.version)
        except errors.RequestError as error:
            # A message that came twice is answered by its first copy.
            if error.code is not errors.ResultCode.ALREADY_STARTED:
                inbound.reply(self._end(message, 0, error))
            return
        sent = [0]
        try:
            self._relay(inbound, sent)
            inbound.reply(self._end(message, sent[0], None))
        except errors.ZinniadykeError as error:
            inbound.reply(self._end(message, sent[0], error))
        except eventlet.greenlet.GreenletExit:
            error = errors.RequestError(code=errors.ResultCode.CANCELLED)
            inbound.reply(self._end(message, sent[0], error))
        finally:
            self.gate.finish(key)

    def close(self, inbound: peers.Inbound) -> None:
        """Close an attempt: cancel it if it runs, bar it if not."""
        message = inbound.message
        key = _admission_gate.AttemptKey(
            request_id=message.request_id, attempt=message.attempt
        )
        task = self.gate.running.get(key)
        started = self.gate.close_attempt(key)
        inbound.reply(
            peers.AttemptClosed(
                request_id=message.request_id,
                attempt=message.attempt,
                incarnation=self.incarnation,
                started=started,
            )
        )
        if task is not None:
            eventlet.kill(task)

    def _check_incarnation(self, message: peers.Run) -> None:
        if message.incarnation != self.incarnation:
            raise errors.RequestError(code=errors.ResultCode.STALE_INCARNATION)

    def _relay(self, inbound: peers.Inbound, sent: list[int]) -> None:
        message = inbound.message
        answer = self.client.run(
            message.method,
            message.path,
            {**message.headers, "X-Request-Id": message.request_id},
            inbound.payload,
            message.timeout_s,
        )
        try:
            inbound.reply(self._begin(message, answer))
            for part in answer.parts:
                inbound.reply(self._frames(message, sent[0]), part)
                sent[0] += 1
        finally:
            answer.close()
        if self.verifies and not self.verify_version(message.version):
            raise errors.EngineError(
                "the engine was loaded anew under the request",
                code=errors.ResultCode.STREAM_BROKEN,
            )

    def _begin(
        self, message: peers.Run, answer: engine.EngineStream
    ) -> peers.Begin:
        return peers.Begin(
            request_id=message.request_id,
            attempt=message.attempt,
            incarnation=self.incarnation,
            version=message.version,
            status=answer.status,
            content_type=answer.content_type,
        )

    def _frames(self, message: peers.Run, sequence: int) -> peers.Frames:
        return peers.Frames(
            request_id=message.request_id,
            attempt=message.attempt,
            incarnation=self.incarnation,
            sequence=sequence,
        )

    def _end(
        self,
        message: peers.Run,
        sequence: int,
        error: errors.ZinniadykeError | None,
    ) -> peers.End:
        code = error.code if error else errors.ResultCode.OK
        return peers.End(
            request_id=message.request_id,
            attempt=message.attempt,
            incarnation=self.incarnation,
            sequence=sequence,
            code=code.number,
            running=max(0, len(self.gate.running) - 1),
            detail=error.message if error else "",
        )
