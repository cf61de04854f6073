"""HTTP client of the origin: ranged reads pinned to one object revision."""

import msgspec
import urllib3

from zinniadyke import errors

READ_TIMEOUT_S = 60.0
MAX_CONNECTIONS = 16


class OriginRange(msgspec.Struct, frozen=True, kw_only=True):
    """Bytes of one read with the entity tag they belong to."""

    data: bytes
    tag: str


class OriginClient:
    """Reads ranges of the origin's objects.

    Parameters
    ----------
    read_timeout_s
        Time limit for one read, in seconds.
    """

    def __init__(self, *, read_timeout_s: float = READ_TIMEOUT_S) -> None:
        """Create the connection pool; connects on first use."""
        self.read_timeout_s = read_timeout_s
        self.pool = urllib3.PoolManager(maxsize=MAX_CONNECTIONS, retries=False)

    def read(
        self,
        url: str,
        *,
        start: int = 0,
        size: int | None = None,
        tag: str = "",
    ) -> OriginRange:
        """Read ``size`` bytes from ``start``, or the whole object.

        Parameters
        ----------
        tag
            Entity tag that the object must still have; empty for any.

        Raises
        ------
        WeightsError
            ORIGIN_CHANGED when the tag differs, ORIGIN_UNAVAILABLE when
            there is no answer or a short one.
        """
        headers = {}
        if size is not None:
            headers["Range"] = f"bytes={start}-{start + size - 1}"
        if tag:
            headers["If-Match"] = tag
        try:
            answer = self.pool.request(
                "GET", url, headers=headers, timeout=self.read_timeout_s
            )
        except urllib3.exceptions.HTTPError as error:
            raise _unavailable(f"{url}: {error}")
        if answer.status == 412:
            raise errors.WeightsError(
                f"{url} is no longer {tag}",
                code=errors.ResultCode.ORIGIN_CHANGED,
            )
        if answer.status not in (200, 206):
            raise _unavailable(f"{url}: HTTP {answer.status}")
        if size is not None and len(answer.data) != size:
            raise _unavailable(f"{url}: {len(answer.data)} of {size} bytes")
        return OriginRange(
            data=answer.data, tag=answer.headers.get("ETag", "")
        )


def _unavailable(message: str) -> errors.WeightsError:
    return errors.WeightsError(
        message, code=errors.ResultCode.ORIGIN_UNAVAILABLE
    )
