"""HTTP client for an engine with an OpenAI-style API.

Orders carry a ``Fencing-Number`` header. An engine that checks it answers 409
if the number is lower than the highest it has seen.
"""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec
import urllib3

from zinniadyke import bounded_http
from zinniadyke import decoding
from zinniadyke import errors
from zinniadyke import http_pools
from zinniadyke import ids
from zinniadyke import telemetry

STATE_TIMEOUT_S = 2.0
LOAD_TIMEOUT_S = 600.0
# Time limit of a whole order, with sending the weights.
MAX_LOAD_S = 3600.0
READ_BYTES = 16384
# Largest answer to a report or an order.
MAX_STATE_BYTES = 1 << 20
# Largest answer to a request, also of a stream. The agent and the entry hold
# it if the caller reads slowly.
MAX_ANSWER_BYTES = 4 << 20


class EngineState(msgspec.Struct, frozen=True, kw_only=True):
    """State that the engine reports.

    Attributes
    ----------
    loaded
        Name of the loaded version, ``model/version``; empty for none.
    digest
        SHA-256 of the loaded bytes, in hex.
    running
        Requests in progress.
    """

    loaded: str = ""
    digest: str = ""
    running: int = 0


class EngineStream(msgspec.Struct, kw_only=True):
    """Answer of the engine, with a body that is read in parts."""

    status: int
    content_type: str
    parts: Iterator[bytes]
    response: urllib3.BaseHTTPResponse
    pool: urllib3.PoolManager

    def close(self) -> None:
        """Close the connection, which cancels the request at the engine."""
        self.response.close()
        self.pool.clear()


class EngineClient:
    """Client of the engine or plain service beside the agent.

    An engine in trouble may send a second copy of an answer, which the next
    call on the connection would take for its own. Requests and orders have a
    new connection each, and reports of the state one of their own.

    Parameters
    ----------
    url
        Base URL, with an IP address as host.
    """

    def __init__(self, *, url: str) -> None:
        """Create the connection pool, which connects on first use."""
        self.url = url.rstrip("/")
        self.state_pool = _make_pool()

    def state(self) -> EngineState:
        """Return the engine's state.

        Raises
        ------
        EngineError
            The engine did not answer, or the answer is invalid.
        """
        try:
            answer = bounded_http.request(
                self.state_pool,
                "GET",
                self.url + "/v1/state",
                max_bytes=MAX_STATE_BYTES,
                total_s=2 * STATE_TIMEOUT_S,
                timeout=STATE_TIMEOUT_S,
            )
            if answer.status != 200:
                raise errors.EngineError(
                    f"engine state: HTTP status {answer.status}, expected 200"
                )
            return msgspec.json.decode(answer.data, type=EngineState)
        except (urllib3.exceptions.HTTPError, *decoding.UNREADABLE) as error:
            raise errors.EngineError(f"cannot read the engine state: {error}")

    def load(
        self,
        name: str,
        parts: Iterable[bytes],
        size: int,
        fence: ids.FencingNumber,
    ) -> None:
        """Replace the weights that the engine has loaded.

        Parameters
        ----------
        name
            Name of the version, ``model/version``.
        parts
            The verified chunks, in order.
        size
            Total length of the chunks, in bytes.

        Raises
        ------
        OrderRefusedError
            The engine has seen a higher fencing number.
        EngineError
            The engine failed or did not answer.
        """
        pool = _make_pool()
        try:
            answer = bounded_http.request(
                pool,
                "PUT",
                f"{self.url}/v1/weights/{name}",
                max_bytes=MAX_STATE_BYTES,
                total_s=MAX_LOAD_S,
                body=parts,
                headers={
                    "Content-Length": str(size),
                    "Fencing-Number": str(fence),
                },
                timeout=LOAD_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as error:
            raise errors.EngineError(
                f"cannot load weights: {error}",
                code=errors.ResultCode.LOAD_FAILED,
            )
        finally:
            pool.clear()
        if answer.status == 409:
            raise errors.OrderRefusedError(code=errors.ResultCode.STALE_FENCE)
        if answer.status != 200:
            raise errors.EngineError(
                f"load weights: HTTP status {answer.status}, expected 200",
                code=errors.ResultCode.LOAD_FAILED,
            )

    def run(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> EngineStream:
        """Send a request to the engine and return its answer as a stream.

        Raises
        ------
        EngineError
            The engine sent no answer. With code NO_TARGET the connection
            failed and the request did not run; otherwise it may have run.
        """
        pool = _make_pool()
        try:
            answer = pool.request(
                method,
                self.url + path,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=1.0, read=timeout_s),
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise errors.EngineError(
                f"cannot connect to the engine: {error}",
                code=errors.ResultCode.NO_TARGET,
            )
        except urllib3.exceptions.HTTPError as error:
            raise errors.EngineError(
                f"request to the engine failed: {error}",
                code=errors.ResultCode.OUTCOME_UNKNOWN,
            )
        return EngineStream(
            status=answer.status,
            content_type=answer.headers.get("Content-Type", ""),
            parts=_read_body(answer),
            response=answer,
            pool=pool,
        )


def _make_pool() -> urllib3.PoolManager:
    return http_pools.pool_manager(maxsize=1)


def _read_body(answer: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    size = 0
    try:
        while part := answer.read1(READ_BYTES):
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                telemetry.count(
                    telemetry.Metric.ANSWERS_OVER_LIMIT, label="engine"
                )
                answer.close()
                raise errors.EngineError(
                    f"the answer exceeds {MAX_ANSWER_BYTES} bytes",
                    code=errors.ResultCode.STREAM_BROKEN,
                )
            yield part
    except urllib3.exceptions.HTTPError as error:
        raise errors.EngineError(
            f"answer of the engine broke off: {error}",
            code=errors.ResultCode.STREAM_BROKEN,
        )
    finally:
        answer.release_conn()
