"""One attempt to run a request on one target."""

import time

from zinniadyke.entry import _caller_request
from zinniadyke.entry import _target_link
from zinniadyke import errors
from zinniadyke import peers

CLOSE_TIMEOUT_S = 1.0


class Attempt:
    """Sends a request to an agent and receives the response.

    Only messages with the id of this request, the number of this attempt and
    the agent's incarnation at the start are accepted, in sequence. A newer
    incarnation may refuse the attempt with STALE_INCARNATION.

    Parameters
    ----------
    number
        Number of the attempt, starting at 1.
    version
        Version that the target served when it was chosen.
    """

    def __init__(
        self,
        *,
        call: _caller_request.CallerRequest,
        number: int,
        link: _target_link.TargetLink,
        version: str,
    ) -> None:
        """Store the arguments; ``begin`` sends the request."""
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
        """Send the request and wait until the response begins.

        Raises
        ------
        RequestError
            The attempt failed; the code says whether it ran.
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
            suspects=sorted(self.call.suspects),
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
            # The message was not sent.
            raise errors.RequestError(code=errors.ResultCode.NO_TARGET)

    def parts(self):
        """Yield the body parts up to the End message.

        Raises
        ------
        RequestError
            The response was cut short.
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
        """Close the attempt; return True if it is proven not to have run."""
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
            answer, _ = connection.send_and_receive(message, CLOSE_TIMEOUT_S)
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
        """Record on the link whether the target failed."""
        self.link.record_result(time.monotonic(), failed)
