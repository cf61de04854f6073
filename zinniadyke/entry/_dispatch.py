"""Runs a request in one or more attempts and returns the response."""

from collections.abc import Iterator
import logging
import time

import eventlet
import msgspec

from zinniadyke.entry import _attempt
from zinniadyke.entry import _caller_request
from zinniadyke.entry import _target_pool
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import requests
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

MAX_ATTEMPTS = 8
RETRY_BACKOFF_S = 0.02


class TargetResponse(msgspec.Struct, kw_only=True):
    """A response of a target; its first part has arrived.

    Attributes
    ----------
    parts
        Iterable of all body parts, with a ``close`` method. Raises
        RequestError if the response is cut short.
    """

    status: int
    content_type: str
    version: str
    target: ids.HostName
    attempts: int
    parts: "ResponseParts"


class ResponseParts:
    """Iterates over the body parts and frees the target's slot at the end.

    Parameters
    ----------
    first_parts
        Body parts that have already been read.
    rest
        Iterator over the body parts that follow.
    """

    def __init__(
        self,
        *,
        attempt: _attempt.Attempt,
        pool: _target_pool.TargetPool,
        first_parts: list[bytes],
        rest: Iterator[bytes],
    ) -> None:
        """Take over the attempt and its slot."""
        self.attempt = attempt
        self.pool = pool
        self.first_parts = first_parts
        self.rest = rest
        self.released = False

    def __iter__(self) -> Iterator[bytes]:
        """Yield all body parts.

        Raises
        ------
        RequestError
            The response was cut short.
        """
        guard = self.pool.crash_guard
        call = self.attempt.call
        started_at = time.monotonic()
        recorded = False
        try:
            yield from self.first_parts
            for part in self.rest:
                if not recorded and (
                    time.monotonic() - started_at >= requests.WRITING_AFTER_S
                ):
                    guard.record_served(call)
                    recorded = True
                yield part
            self.attempt.record_result(False)
            if not recorded:
                guard.record_served(call)
        except errors.RequestError:
            self.attempt.record_result(True)
            raise
        finally:
            self.close()

    def close(self) -> None:
        """Close an unfinished attempt and free the slot; idempotent."""
        if self.released:
            return
        self.released = True
        if not self.attempt.ended:
            eventlet.spawn_n(self.attempt.close)
        self.pool.release(self.attempt.link)


def dispatch(
    call: _caller_request.CallerRequest, pool: _target_pool.TargetPool
) -> TargetResponse:
    """Run a request on a target, and retry on others where that is safe.

    A failed attempt is retried if it is proven not to have run. If it may
    have run, it is retried only if the request is idempotent, no part of the
    response has reached the caller, and the retry budget allows it.

    Raises
    ------
    RequestError
        The final result, as soon as it is known.
    """
    ledger = pool.crash_guard.ledger
    ledger.check(call.suspects)
    pool.retry_budget.deposit()
    excluded: set[ids.HostName] = set()
    for number in range(1, MAX_ATTEMPTS + 1):
        link, version = pool.acquire(call, excluded)
        if ledger.refuses(call.suspects):
            pool.release(link)
            ledger.check(call.suspects)
        attempt = _attempt.Attempt(
            call=call, number=number, link=link, version=version
        )
        try:
            return _run_attempt(call, pool, attempt)
        except errors.RequestError as error:
            _raise_if_final(call, pool, error, number)
            telemetry.count(telemetry.Metric.ATTEMPTS_REPEATED)
            LOG.info(
                "attempt failed, retrying",
                extra={
                    "request_id": call.request_id,
                    "workspace": call.workspace,
                    "target": link.host.name,
                    "version": version,
                    "code": error.code.number,
                },
            )
        excluded = excluded | {link.host.name}
        eventlet.sleep(RETRY_BACKOFF_S * number)
    raise errors.RequestError(code=errors.ResultCode.NO_TARGET)


def _run_attempt(
    call: _caller_request.CallerRequest,
    pool: _target_pool.TargetPool,
    attempt: _attempt.Attempt,
) -> TargetResponse:
    response_returned = False
    try:
        attempt.begin()
        first_parts, rest = _read_first_parts(call, attempt)
        _check_status(call, attempt)
        response_returned = True
    except errors.RequestError as error:
        attempt.record_result(error.code.ran is not errors.Ran.NOT_RUN)
        raise
    finally:
        if not response_returned:
            if not attempt.ended:
                eventlet.spawn_n(attempt.close)
            pool.release(attempt.link)
    return TargetResponse(
        status=attempt.status,
        content_type=attempt.content_type,
        version=attempt.version,
        target=attempt.link.host.name,
        attempts=attempt.number,
        parts=ResponseParts(
            attempt=attempt, pool=pool, first_parts=first_parts, rest=rest
        ),
    )


def _read_first_parts(
    call: _caller_request.CallerRequest, attempt: _attempt.Attempt
) -> tuple[list[bytes], Iterator[bytes]]:
    """Read the whole body, or only the first part of a stream."""
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
            f"engine returned HTTP {attempt.status}, expected below 500",
            code=errors.ResultCode.TARGET_FAILED,
        )


def _raise_if_final(
    call: _caller_request.CallerRequest,
    pool: _target_pool.TargetPool,
    error: errors.RequestError,
    number: int,
) -> None:
    if number >= MAX_ATTEMPTS or call.time_left_s() <= 0:
        raise error
    if pool.crash_guard.ledger.refuses(call.suspects):
        raise error
    if error.code.ran is errors.Ran.NOT_RUN:
        return
    if not call.idempotent or not pool.retry_budget.withdraw():
        raise error
