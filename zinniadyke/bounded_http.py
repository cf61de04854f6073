"""HTTP calls whose answers are bounded in size and in total time.

A server in trouble may send bytes without end. urllib3's timeouts start anew
with each received byte, and it reads a body of any size.
"""

import eventlet
import msgspec
import urllib3

READ_BYTES = 65536


class AnswerTooLargeError(urllib3.exceptions.HTTPError):
    """The body exceeds the limit of the call."""


class AnswerTooSlowError(urllib3.exceptions.HTTPError):
    """The answer was not complete within the total time of the call."""


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer.

    Attributes
    ----------
    headers
        Header fields; names in any case.
    """

    status: int
    headers: urllib3.HTTPHeaderDict
    data: bytes


def request(
    pool: urllib3.HTTPConnectionPool,
    method: str,
    path: str,
    *,
    max_bytes: int,
    total_s: float,
    **options,
) -> Answer:
    """Make a call and return its complete answer.

    Parameters
    ----------
    max_bytes
        Largest accepted body.
    total_s
        Time limit of the whole call, in seconds; ``timeout`` among the
        options limits the time without a byte.
    options
        Further options of ``pool.request``.

    Raises
    ------
    urllib3.exceptions.HTTPError
        No complete answer came, or it exceeds a limit.
    """
    too_slow = AnswerTooSlowError(f"no complete answer in {total_s:.1f} s")
    answer = None
    complete = False
    try:
        with eventlet.Timeout(total_s, too_slow):
            answer = pool.request(
                method, path, preload_content=False, **options
            )
            data = _read_body(answer, max_bytes)
            complete = True
    finally:
        if answer is not None and not complete:
            answer.close()
    answer.release_conn()
    return Answer(status=answer.status, headers=answer.headers, data=data)


def _read_body(answer: urllib3.BaseHTTPResponse, max_bytes: int) -> bytes:
    parts = []
    size = 0
    while part := answer.read(READ_BYTES):
        size += len(part)
        if size > max_bytes:
            raise AnswerTooLargeError(
                f"the body exceeds the limit of {max_bytes} bytes"
            )
        parts.append(part)
    return b"".join(parts)
