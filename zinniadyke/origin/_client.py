"""HTTP client for range reads pinned to one revision of an object."""

import msgspec
import urllib3

from zinniadyke import bounded_http
from zinniadyke import errors
from zinniadyke import http_pools

READ_TIMEOUT_S = 60.0
# Time limit of a whole read over a narrow link.
MAX_READ_S = 600.0
MAX_CONNECTIONS = 16
# Largest whole object, a manifest; some 900,000 chunks.
MAX_OBJECT_BYTES = 64 << 20
# Answers that report an error may be larger than the range that was asked for.
MIN_LIMIT_BYTES = 65536


class OriginRange(msgspec.Struct, frozen=True, kw_only=True):
    """Bytes of one read, with the entity tag of the object."""

    data: bytes
    etag: str


class OriginClient:
    """Reads objects of the origin, or ranges of them.

    Parameters
    ----------
    read_timeout_s
        Connect and read timeout of a request, in seconds.
    """

    def __init__(self, *, read_timeout_s: float = READ_TIMEOUT_S) -> None:
        """Create the connection pool, which connects on first use."""
        self.read_timeout_s = read_timeout_s
        self.pool = http_pools.pool_manager(maxsize=MAX_CONNECTIONS)

    def read(
        self,
        url: str,
        *,
        start: int = 0,
        size: int | None = None,
        etag: str = "",
    ) -> OriginRange:
        """Read ``size`` bytes from ``start``, or the whole object.

        Parameters
        ----------
        etag
            Entity tag that the object must have; empty for any.

        Raises
        ------
        WeightsError
            With code ORIGIN_CHANGED if the entity tag differs, and with
            ORIGIN_UNAVAILABLE if the origin does not answer, or answers with
            an error or the wrong number of bytes.
        """
        headers = {}
        if size is not None:
            headers["Range"] = f"bytes={start}-{start + size - 1}"
        if etag:
            headers["If-Match"] = etag
        try:
            response = bounded_http.request(
                self.pool,
                "GET",
                url,
                max_bytes=(
                    MAX_OBJECT_BYTES
                    if size is None
                    else max(size, MIN_LIMIT_BYTES)
                ),
                total_s=MAX_READ_S,
                headers=headers,
                timeout=self.read_timeout_s,
            )
        except urllib3.exceptions.HTTPError as error:
            raise _unavailable_error(f"cannot read {url}: {error}")
        if response.status == 412:
            raise errors.WeightsError(
                f"{url} no longer has the entity tag {etag}",
                code=errors.ResultCode.ORIGIN_CHANGED,
            )
        if response.status not in (200, 206):
            raise _unavailable_error(
                f"{url}: HTTP status {response.status}, expected 200 or 206"
            )
        if size is not None and len(response.data) != size:
            raise _unavailable_error(
                f"{url}: {len(response.data)} bytes received, {size} expected"
            )
        return OriginRange(
            data=response.data, etag=response.headers.get("ETag", "")
        )


def _unavailable_error(message: str) -> errors.WeightsError:
    return errors.WeightsError(
        message, code=errors.ResultCode.ORIGIN_UNAVAILABLE
    )
