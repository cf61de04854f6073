"""Attempts, retries and the outcome of a request."""

from collections.abc import Iterator
import logging

import eventlet
import msgspec

from zinniadyke.entry import _attempt
from zinniadyke.entry import _caller_request
from zinniadyke.entry import _target_pool
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

MAX_ATTEMPTS = 8
RETRY_PAUSE_S = 0.02


class Answer(msgspec.Struct, kw_only=True):
    """An answer whose first part has arrived.

    Attributes
    ----------
    parts
        The rest; raises RequestError if the answer is cut short. Has a
        ``close`` method.
    """

    status: int
    content_type: str
    version: str
    target: ids.HostName
    attempts: int
    parts: "AnswerParts"


class AnswerParts:
    """Iterates over the parts and frees the target's slot at the end.

    Parameters
    ----------
    first
        Parts that have been read already.
    """

    def __init__(
        self,
        *,
        attempt: _attempt.Attempt,
        pool: _target_pool.TargetPool,
        first: list[bytes],
        rest: Iterator[bytes],
    ) -> None:
        """Take over the attempt."""
        self.attempt = attempt
        self.pool = pool
        self.first = first
        self.rest = rest
        self.released = False

    def __iter__(self) -> Iterator[bytes]:
        """Yield the parts."""
        try:
            yield from self.first
            yield from self.rest
            self.attempt.note_result(False)
        except errors.RequestError:
            self.attempt.note_result(True)
            raise
        finally:
            self.close()

    def close(self) -> None:
        """End the attempt if it has not, and free the slot. Idempotent."""
        if self.released:
            return
        self.released = True
        if not self.attempt.ended:
            eventlet.spawn_n(self.attempt.close)
        self.pool.release(self.attempt.link)


def dispatch(
    call: _caller_request.CallerRequest, pool: _target_pool.TargetPool
) -> Answer:
    """Run a request at a target; again elsewhere where that is safe.

    An attempt is repeated if it is proven not to have run. If it may have
    run, it is repeated only if the request is idempotent, no part of the
    answer has been given to the caller, and the retry budget allows.

    Raises
    ------
    RequestError
        The final result, at once when it is known.
    """
    pool.budget.deposit()
    avoid: set[ids.HostName] = set()
    for number in range(1, MAX_ATTEMPTS + 1):
        link, version = pool.acquire(call, avoid)
        attempt = _attempt.Attempt(
            call=call, number=number, link=link, version=version
        )
        try:
            return _run(call, pool, attempt)
        except errors.RequestError as error:
            _check_retry(call, pool, error, number)
            telemetry.count(telemetry.Metric.ATTEMPTS_REPEATED)
            LOG.info(
                "attempt failed",
                extra={
                    "request_id": call.request_id,
                    "workspace": call.workspace,
                    "target": link.host.name,
                    "version": version,
                    "code": error.code.number,
                },
            )
        avoid = avoid | {link.host.name}
        eventlet.sleep(RETRY_PAUSE_S * number)
    raise errors.RequestError(code=errors.ResultCode.NO_TARGET)


def _run(
    call: _caller_request.CallerRequest,
    pool: _target_pool.TargetPool,
    attempt: _attempt.Attempt,
) -> Answer:
    handed_over = False
    try:
        attempt.begin()
        first, rest = _first_parts(call, attempt)
        _check_status(call, attempt)
        handed_over = True
    except errors.RequestError as error:
        attempt.note_result(error.code.ran is not errors.Ran.NOT_RUN)
        raise
    finally:
        if not handed_over:
            if not attempt.ended:
                eventlet.spawn_n(attempt.close)
            pool.release(attempt.link)
    return Answer(
        status=attempt.status,
        content_type=attempt.content_type,
        version=attempt.version,
        target=attempt.link.host.name,
        attempts=attempt.number,
        parts=AnswerParts(attempt=attempt, pool=pool, first=first, rest=rest),
    )


def _first_parts(
    call: _caller_request.CallerRequest, attempt: _attempt.Attempt
) -> tuple[list[bytes], Iterator[bytes]]:
    """Read the whole answer, or the first part if it is streamed."""
    parts = attempt.parts()
    if not call.stream:
        return list(parts), iter(())
    for part in parts:
        return [part], parts
    return [], iter(())


def _check_status(
    call: _caller_request.CallerRequest, attempt: _attempt.Attempt
) -> None:
    if call.model and attempt.status >= 500:
        raise errors.RequestError(
            f"the engine answered HTTP {attempt.status}",
            code=errors.ResultCode.TARGET_FAILED,
        )


def _check_retry(
    call: _caller_request.CallerRequest,
    pool: _target_pool.TargetPool,
    error: errors.RequestError,
    number: int,
) -> None:
    if number >= MAX_ATTEMPTS or call.time_left_s() <= 0:
        raise error
    if error.code.ran is errors.Ran.NOT_RUN:
        return
    if not call.idempotent or not pool.budget.withdraw():
        raise error
