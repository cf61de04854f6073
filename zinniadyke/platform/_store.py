"""HTTP client of the users' metadata store: objects, lists and watches."""

import http
import logging

import msgspec
import urllib3

from zinniadyke import errors
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

# Connections that are kept: the watches of one process and one call more.
MAX_CONNECTIONS = 4
# Longest wait for a connection to be accepted; the store is a few
# milliseconds away, and a lost opening packet is sent again after 1 s.
CONNECT_TIMEOUT_S = 0.5
# Longest wait for an answer; a slow store takes some 0.3 s.
CALL_TIMEOUT_S = 1.5
# What a watch may take beyond the time that it was told to wait.
WATCH_SLACK_S = 0.6
MS_PER_S = 1000


class ObjectMetadata(msgspec.Struct, kw_only=True):
    """What the store says about an object.

    Attributes
    ----------
    revision
        Revision of its last change.
    """

    name: str
    revision: int = 0
    created: int = 0
    finalizers: list[str] = []
    deleting: bool = False


class StoreObject(msgspec.Struct, kw_only=True):
    """An object of the store; ``spec`` and ``status`` are its JSON."""

    metadata: ObjectMetadata
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")


class ObjectList(msgspec.Struct, kw_only=True):
    """All objects of a kind, as of ``revision``."""

    objects: list[StoreObject]
    revision: int


class ObjectChange(msgspec.Struct, kw_only=True):
    """One change of an object."""

    object: StoreObject
    removed: bool


class ChangeList(msgspec.Struct, kw_only=True):
    """Changes of a kind; continue the watch from ``revision``."""

    changes: list[ObjectChange]
    revision: int


class HistoryGoneError(errors.PlatformError):
    """The store no longer holds the changes after a revision."""


class _ListAnswer(msgspec.Struct):
    items: list[msgspec.Raw]
    current_rev: int
    has_more: bool = False


class _WatchAnswer(msgspec.Struct):
    events: list[msgspec.Raw]
    current_rev: int


class _Event(msgspec.Struct):
    object: StoreObject
    removed: bool = False


class StoreClient:
    """Calls the store and counts the calls.

    Parameters
    ----------
    address
        ``ip:port`` of the store.
    """

    def __init__(self, *, address: str) -> None:
        """Create the connection pool; connects on first use."""
        host, _, port = address.rpartition(":")
        self.pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=MAX_CONNECTIONS, retries=False
        )

    def list_objects(self, kind: str) -> ObjectList:
        """Return all objects of a kind; unreadable ones are left out.

        Raises
        ------
        PlatformError
            The store did not answer.
        """
        found: list[StoreObject] = []
        first_revision = None
        query = ""
        while True:
            answer = _decode(
                self._call("GET", f"/v1/objects/{kind}{query}"), _ListAnswer
            )
            # Changes between two pages are in the watch that starts at the
            # revision of the first one.
            if first_revision is None:
                first_revision = answer.current_rev
            page = [_decode_item(raw, StoreObject) for raw in answer.items]
            found.extend(o for o in page if o is not None)
            if not answer.has_more or not found:
                return ObjectList(objects=found, revision=first_revision)
            query = f"?after={found[-1].metadata.name}"

    def watch(self, kind: str, revision: int, wait_s: float) -> ChangeList:
        """Wait for changes of a kind after ``revision``.

        Raises
        ------
        HistoryGoneError
            The changes are no longer held; list the objects again.
        PlatformError
            The store did not answer.
        """
        wait_ms = int(wait_s * MS_PER_S)
        data = self._call(
            "GET",
            f"/v1/objects/{kind}?watch={revision}&wait_ms={wait_ms}",
            timeout_s=wait_s + WATCH_SLACK_S,
        )
        answer = _decode(data, _WatchAnswer)
        events = [_decode_item(raw, _Event) for raw in answer.events]
        return ChangeList(
            changes=[
                ObjectChange(object=e.object, removed=e.removed)
                for e in events
                if e is not None
            ],
            revision=answer.current_rev,
        )

    def _call(
        self, method: str, path: str, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> bytes:
        telemetry.count(telemetry.Metric.PLATFORM_CALLS, label=method)
        try:
            answer = self.pool.request(
                method,
                path,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=timeout_s
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            telemetry.count(telemetry.Metric.PLATFORM_FAILURES, label="none")
            raise errors.PlatformError(f"{method} {path}: {error}")
        if answer.status == http.HTTPStatus.GONE:
            raise HistoryGoneError(f"{method} {path}: history is gone")
        if answer.status != http.HTTPStatus.OK:
            telemetry.count(
                telemetry.Metric.PLATFORM_FAILURES, label=str(answer.status)
            )
            raise errors.PlatformError(f"{method} {path}: {answer.status}")
        return answer.data


def _decode(data: bytes, wanted):
    """Decode an answer; bytes that are no text are replaced first."""
    try:
        return msgspec.json.decode(data, type=wanted)
    except msgspec.MsgspecError:
        readable = data.decode("utf-8", "replace").encode()
    try:
        return msgspec.json.decode(readable, type=wanted)
    except msgspec.MsgspecError as error:
        raise errors.PlatformError(f"answer of the store: {error}")


def _decode_item(raw: msgspec.Raw, wanted):
    try:
        return msgspec.json.decode(raw, type=wanted)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        LOG.warning("unreadable object", extra={"reason": str(error)})
        return None
