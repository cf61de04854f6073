"""One attempt of a request at one target."""

import time

from zinniadyke.entry import _caller_request
from zinniadyke.entry import _target_link
from zinniadyke import errors
from zinniadyke import peers

CLOSE_TIMEOUT_S = 1.0


class Attempt:
    """Sends a request to an agent and takes in the answer.

    Only messages that carry this request, this attempt, and the agent's
    incarnation that was admitted, in sequence, are taken in.

    Parameters
    ----------
    number
        Number of the attempt, from 1.
    version
        The version admitted.
    """

    def __init__(
        self,
        *,
        call: _caller_request.CallerRequest,
        number: int,
        link: _target_link.TargetLink,
        version: str,
    ) -> None:
        """Hold the parts; ``begin`` sends the request."""
        self.call = call
        self.number = number
        self.link = link
        self.version = version
        self.incarnation = link.status.incarnation
        self.sequence = 0
        self.status = 0
        self.content_type = ""
        self.ended = False
        self.peer_call: peers.Call | None = None

    def begin(self) -> None:
        """Send the request and wait until its answer begins.

        Raises
        ------
        RequestError
            With a code that says whether the attempt ran.
        """
        message = peers.Run(
            request_id=self.call.request_id,
            attempt=self.number,
            incarnation=self.incarnation,
            workspace=self.call.workspace,
            version=self.version,
            method=self.call.method,
            path=self.call.path,
            headers=self.call.headers,
            stream=self.call.stream,
            timeout_s=self.call.time_left_s(),
        )
        self.peer_call = self._send(message)
        answer, _ = self._receive()
        if isinstance(answer, peers.Begin):
            self.status = answer.status
            self.content_type = answer.content_type
            return
        self._handle_end(answer)
        raise errors.RequestError(code=errors.ResultCode.STREAM_BROKEN)

    def _send(self, message: peers.Run) -> peers.Call:
        try:
            return self.link.connection.start(message, self.call.body)
        except errors.PeerTimeoutError:
            # It never left this process.
            raise errors.RequestError(code=errors.ResultCode.NO_TARGET)

    def parts(self):
        """Yield the parts of the answer up to its marked end.

        Raises
        ------
        RequestError
            The answer was cut short.
        """
        while True:
            answer, payload = self._receive()
            if isinstance(answer, peers.Frames):
                if answer.sequence != self.sequence:
                    continue
                self.sequence += 1
                yield payload
            elif isinstance(answer, peers.End):
                self._handle_end(answer)
                return

    def close(self) -> bool:
        """Close the attempt; True if it is proven that it never ran."""
        if self.ended or self.peer_call is None:
            return False
        self.ended = True
        connection = self.link.connection
        connection.finish(self.peer_call)
        if not self.link.reachable:
            return False
        message = peers.CloseAttempt(
            request_id=self.call.request_id, attempt=self.number
        )
        try:
            answer, _ = connection.ask(message, CLOSE_TIMEOUT_S)
        except errors.PeerTimeoutError:
            return False
        return (
            isinstance(answer, peers.AttemptClosed)
            and answer.request_id == self.call.request_id
            and answer.attempt == self.number
            and answer.incarnation == self.incarnation
            and not answer.started
        )

    def _receive(self):
        while True:
            try:
                answer, payload = self.peer_call.receive(
                    self.call.time_left_s()
                )
            except errors.PeerTimeoutError:
                raise self._close_after_timeout()
            if self._is_for_this_attempt(answer):
                return answer, payload

    def _close_after_timeout(self) -> errors.RequestError:
        if self.close():
            return errors.RequestError(code=errors.ResultCode.ATTEMPT_CLOSED)
        return errors.RequestError(code=errors.ResultCode.OUTCOME_UNKNOWN)

    def _is_for_this_attempt(self, answer: peers.Message) -> bool:
        if not isinstance(answer, peers.Begin | peers.Frames | peers.End):
            return False
        if isinstance(answer, peers.Begin) and answer.version != self.version:
            return False
        return (
            answer.request_id == self.call.request_id
            and answer.attempt == self.number
            and (
                answer.incarnation == self.incarnation
                or self._is_stale_incarnation_error(answer)
            )
        )

    def _is_stale_incarnation_error(self, answer: peers.Message) -> bool:
        stale = errors.ResultCode.STALE_INCARNATION.number
        return isinstance(answer, peers.End) and answer.code == stale

    def _handle_end(self, answer: peers.End) -> None:
        self.ended = True
        self.link.connection.finish(self.peer_call)
        self.link.update_running(answer.running)
        code = errors.ResultCode.from_number(answer.code)
        if code is not errors.ResultCode.OK:
            raise errors.RequestError(answer.detail, code=code)
        if answer.sequence != self.sequence:
            raise errors.RequestError(code=errors.ResultCode.STREAM_BROKEN)

    def record_result(self, failed: bool) -> None:
        """Tell the link whether the target failed."""
        self.link.record_result(time.monotonic(), failed)
