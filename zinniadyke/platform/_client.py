"""HTTP client of the platform's object API.

The wire form is plain HTTP with conditional requests: the revision is the
entity tag, ``If-Match`` and ``If-None-Match`` make a write conditional, and
a watch is a GET that waits.
"""

import collections

import msgspec
import urllib3

from zinniadyke import errors
from zinniadyke.platform import _purpose
from zinniadyke.platform import _records
from zinniadyke import telemetry

CALL_TIMEOUT_S = 2.0
WATCH_SLACK_S = 2.0
MAX_CONNECTIONS = 16
MAX_VALUE_BYTES = 1 << 20


class PlatformClient:
    """Calls the platform and counts the calls by purpose.

    Parameters
    ----------
    url
        Base URL, with an IP number as host.
    timeout_s
        Time limit of one call, in seconds.
    """

    def __init__(self, *, url: str, timeout_s: float = CALL_TIMEOUT_S) -> None:
        """Create the connection pool; connects on first use."""
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.calls: collections.Counter = collections.Counter()
        self.pool = urllib3.PoolManager(maxsize=MAX_CONNECTIONS, retries=False)

    def get(
        self, key: str, *, purpose: _purpose.Purpose
    ) -> _records.StoredObject | None:
        """Return the object at ``key``, or None.

        Raises
        ------
        PlatformError
            The platform did not answer.
        """
        answer = self._call("GET", f"/v1/objects/{key}", purpose=purpose)
        if answer.status == 404:
            return None
        return _stored(key, answer)

    def put(
        self,
        key: str,
        value: bytes,
        *,
        purpose: _purpose.Purpose,
        revision: int | None,
    ) -> int:
        """Write ``value`` if the object is still at ``revision``.

        Parameters
        ----------
        revision
            Expected revision; None when the object must not exist.

        Returns
        -------
        int
            The new revision.

        Raises
        ------
        ConflictError
            The object is at another revision.
        PlatformError
            The write may or may not have taken effect.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise errors.UserError(
                f"{key}: {len(value)} bytes is over the platform's limit"
                f" of {MAX_VALUE_BYTES}"
            )
        headers = _condition(revision)
        answer = self._call(
            "PUT",
            f"/v1/objects/{key}",
            purpose=purpose,
            body=value,
            headers=headers,
        )
        if answer.status == 412:
            raise errors.ConflictError(f"{key} was changed by another writer")
        return _revision(answer)

    def watch(
        self,
        key: str,
        *,
        purpose: _purpose.Purpose,
        after: int,
        wait_s: float,
    ) -> _records.StoredObject | None:
        """Wait until ``key`` is newer than ``after``; None if it is not.

        Raises
        ------
        PlatformError
            The platform did not answer.
        """
        answer = self._call(
            "GET",
            f"/v1/watch/{key}?after={after}&wait={wait_s}",
            purpose=purpose,
            timeout_s=wait_s + WATCH_SLACK_S,
        )
        if answer.status in (204, 404):
            return None
        return _stored(key, answer)

    def hosts(
        self, *, purpose: _purpose.Purpose = _purpose.Purpose.MEMBERSHIP
    ) -> list[_records.Host]:
        """Return the lagging list of live and leaving hosts."""
        answer = self._call("GET", "/v1/hosts", purpose=purpose)
        try:
            return msgspec.json.decode(answer.data, type=list[_records.Host])
        except msgspec.MsgspecError as error:
            raise errors.PlatformError(f"host list: {error}")

    def _call(
        self,
        method: str,
        path: str,
        *,
        purpose: _purpose.Purpose,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> urllib3.BaseHTTPResponse:
        self.calls[purpose] += 1
        telemetry.count(telemetry.Metric.PLATFORM_CALLS, label=purpose.value)
        try:
            answer = self.pool.request(
                method,
                self.url + path,
                body=body,
                headers=headers,
                timeout=timeout_s or self.timeout_s,
            )
        except urllib3.exceptions.HTTPError as error:
            raise errors.PlatformError(f"{method} {path}: {error}")
        if answer.status >= 500 or answer.status == 429:
            raise errors.PlatformError(f"{method} {path}: {answer.status}")
        return answer


def _condition(revision: int | None) -> dict[str, str]:
    if revision is None:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{revision}"'}


def _revision(answer: urllib3.BaseHTTPResponse) -> int:
    tag = answer.headers.get("ETag", "").strip('"')
    if not tag.isdigit():
        raise errors.PlatformError(f"no revision in an answer: {tag!r}")
    return int(tag)


def _stored(
    key: str, answer: urllib3.BaseHTTPResponse
) -> _records.StoredObject:
    return _records.StoredObject(
        key=key, value=answer.data, revision=_revision(answer)
    )
