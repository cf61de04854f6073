"""Runs admitted attempts at the engine and relays its answers."""

import logging

import eventlet

from zinniadyke.agent import _admission_gate
from zinniadyke.agent import _crash_log
from zinniadyke import engine
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import peers

LOG = logging.getLogger(__name__)


class AttemptRunner:
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
        """Create a runner that does not verify versions."""
        self.gate = gate
        self.client = client
        self.incarnation = incarnation
        self.crash_log: _crash_log.CrashLog | None = None
        self.verifies_after_run = False
        self.verify_version = lambda version: True

    def run(self, inbound: peers.InboundMessage) -> None:
        """Run one attempt; the last message of its answer is an End.

        A duplicate of an attempt that has started gets no answer.
        """
        message = inbound.message
        key = _admission_gate.AttemptKey(
            request_id=message.request_id, attempt=message.attempt
        )
        try:
            self._check_incarnation(message)
            self.gate.admit(key, message.version)
        except errors.RequestError as error:
            # The first copy of a duplicated message sends the answer.
            if error.code is not errors.ResultCode.ALREADY_STARTED:
                inbound.reply(self._end_message(message, 0, error))
            return
        frames_sent = [0]
        try:
            self._relay(inbound, frames_sent)
            inbound.reply(self._end_message(message, frames_sent[0], None))
        except errors.ZinniadykeError as error:
            self._record_cut_off(message, frames_sent[0], error)
            inbound.reply(self._end_message(message, frames_sent[0], error))
        except eventlet.greenlet.GreenletExit:
            error = errors.RequestError(code=errors.ResultCode.CANCELLED)
            inbound.reply(self._end_message(message, frames_sent[0], error))
        finally:
            self.gate.finish(key)

    def _record_cut_off(
        self,
        message: peers.Run,
        frames_sent: int,
        error: errors.ZinniadykeError,
    ) -> None:
        """Record an answer that the engine broke off before it began."""
        if (
            self.crash_log is not None
            and message.suspects
            and not frames_sent
            and error.code
            in (
                errors.ResultCode.OUTCOME_UNKNOWN,
                errors.ResultCode.STREAM_BROKEN,
            )
        ):
            self.crash_log.record_cut_off(message)

    def close(self, inbound: peers.InboundMessage) -> None:
        """Cancel an attempt if it is running, else prevent its start."""
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

    def _relay(
        self, inbound: peers.InboundMessage, frames_sent: list[int]
    ) -> None:
        message = inbound.message
        answer = self.client.run(
            message.method,
            message.path,
            {**message.headers, "X-Request-Id": message.request_id},
            inbound.payload,
            message.timeout_s,
        )
        try:
            inbound.reply(self._begin_message(message, answer))
            for part in answer.parts:
                inbound.reply(
                    self._frames_message(message, frames_sent[0]), part
                )
                frames_sent[0] += 1
        finally:
            answer.close()
        if self.verifies_after_run and not self.verify_version(
            message.version
        ):
            raise errors.EngineError(
                "engine not verified to hold the requested version after run",
                code=errors.ResultCode.STREAM_BROKEN,
            )

    def _begin_message(
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

    def _frames_message(
        self, message: peers.Run, sequence: int
    ) -> peers.Frames:
        return peers.Frames(
            request_id=message.request_id,
            attempt=message.attempt,
            incarnation=self.incarnation,
            sequence=sequence,
        )

    def _end_message(
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
