"""HTTP client of an engine with an OpenAI-style API.

Orders carry a ``Fencing-Number`` header; an engine that checks it answers
409 to a number below the highest it has seen.
"""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec
import urllib3

from zinniadyke import errors
from zinniadyke import ids

STATE_TIMEOUT_S = 2.0
LOAD_TIMEOUT_S = 600.0
MAX_CONNECTIONS = 256
READ_BYTES = 16384


class EngineState(msgspec.Struct, frozen=True, kw_only=True):
    """What the engine says that it holds and does.

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
    """An answer of the engine whose body is read in parts."""

    status: int
    content_type: str
    parts: Iterator[bytes]
    response: urllib3.BaseHTTPResponse

    def close(self) -> None:
        """Drop the connection, which cancels the run at the engine."""
        self.response.close()


class EngineClient:
    """Calls the engine or service beside the agent.

    Parameters
    ----------
    url
        Base URL, with an IP number as host.
    """

    def __init__(self, *, url: str) -> None:
        """Create the connection pool; connects on first use."""
        self.url = url.rstrip("/")
        self.pool = urllib3.PoolManager(maxsize=MAX_CONNECTIONS, retries=False)

    def state(self) -> EngineState:
        """Return the engine's state.

        Raises
        ------
        EngineError
            The engine did not answer.
        """
        try:
            answer = self.pool.request(
                "GET", self.url + "/v1/state", timeout=STATE_TIMEOUT_S
            )
            if answer.status != 200:
                raise errors.EngineError(f"state: HTTP {answer.status}")
            return msgspec.json.decode(answer.data, type=EngineState)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            raise errors.EngineError(f"state: {error}")

    def load(
        self,
        name: str,
        parts: Iterable[bytes],
        size: int,
        fence: ids.FencingNumber,
    ) -> None:
        """Replace the loaded weights.

        Parameters
        ----------
        parts
            The verified chunks, in order.
        size
            Sum of their lengths, in bytes.

        Raises
        ------
        OrderRefusedError
            The engine has seen a higher fencing number.
        EngineError
            The engine failed or did not answer.
        """
        try:
            answer = self.pool.request(
                "PUT",
                f"{self.url}/v1/weights/{name}",
                body=parts,
                headers={
                    "Content-Length": str(size),
                    "Fencing-Number": str(fence),
                },
                timeout=LOAD_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as error:
            raise errors.EngineError(
                f"load: {error}", code=errors.ResultCode.LOAD_FAILED
            )
        if answer.status == 409:
            raise errors.OrderRefusedError(code=errors.ResultCode.STALE_FENCE)
        if answer.status != 200:
            raise errors.EngineError(
                f"load: HTTP {answer.status}",
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
        """Run a request and return its answer as a stream.

        Raises
        ------
        EngineError
            No answer began; the request may or may not have run, unless
            the code says that the connection was refused.
        """
        try:
            answer = self.pool.request(
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
                f"connect: {error}", code=errors.ResultCode.NO_TARGET
            )
        except urllib3.exceptions.HTTPError as error:
            raise errors.EngineError(
                f"run: {error}", code=errors.ResultCode.OUTCOME_UNKNOWN
            )
        return EngineStream(
            status=answer.status,
            content_type=answer.headers.get("Content-Type", ""),
            parts=_read(answer),
            response=answer,
        )


def _read(answer: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    try:
        while part := answer.read1(READ_BYTES):
            yield part
    except urllib3.exceptions.HTTPError as error:
        raise errors.EngineError(
            f"stream: {error}", code=errors.ResultCode.STREAM_BROKEN
        )
    finally:
        answer.release_conn()
