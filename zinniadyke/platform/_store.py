"""HTTP client of the users' metadata store: objects, lists and watches."""

from collections.abc import Callable
import http
import logging
import time
from urllib import parse

import msgspec
import urllib3

from zinniadyke import bounded_http
from zinniadyke import decoding
from zinniadyke import errors
from zinniadyke import http_pools
from zinniadyke.platform import _json_text
from zinniadyke.platform import _revision
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

# One connection for each watch of a process and one for other calls.
MAX_CONNECTIONS = 5
# The store is a few milliseconds away. A longer timeout would wait for the
# kernel, which sends a lost SYN packet again after 1 s.
CONNECT_TIMEOUT_S = 0.5
# A slow store takes about 0.3 s to answer.
CALL_TIMEOUT_S = 1.5
# Several large objects; the store sends about 1 MB at a time.
MAX_ANSWER_BYTES = 32 << 20
# Largest list, in all of its pages.
MAX_LIST_BYTES = 64 << 20
# Time that an answer may take to arrive over a narrow link.
MAX_TRANSFER_S = 10.0
# Time that a watch may take beyond its requested wait.
WATCH_EXTRA_TIMEOUT_S = 0.6
MS_PER_S = 1000
ERA_HEADER = "Store-Era"
JSON_HEADERS = {"Content-Type": "application/json"}
SUCCESS = frozenset((http.HTTPStatus.OK, http.HTTPStatus.CREATED))
NOT_FOUND = frozenset((http.HTTPStatus.NOT_FOUND,))
# The store answers 404 to the replacement of a removed object.
CONFLICTS = frozenset((http.HTTPStatus.CONFLICT, http.HTTPStatus.NOT_FOUND))


class ObjectMetadata(msgspec.Struct, kw_only=True):
    """Metadata of an object.

    Attributes
    ----------
    revision
        Revision of the object's last change.
    """

    name: str
    revision: int = 0
    created: int = 0
    finalizers: list[str] = []
    deleting: bool = False


class StoreObject(msgspec.Struct, kw_only=True):
    """An object of the store; ``spec`` and ``status`` are raw JSON."""

    metadata: ObjectMetadata
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")


class ObjectList(msgspec.Struct, kw_only=True):
    """All objects of a kind at ``revision``."""

    objects: list[StoreObject]
    revision: _revision.Revision


class ObjectChange(msgspec.Struct, kw_only=True):
    """One change of an object."""

    object: StoreObject
    removed: bool


class ChangeList(msgspec.Struct, kw_only=True):
    """Changes of a kind; continue the watch from ``revision``."""

    changes: list[ObjectChange]
    revision: _revision.Revision


class HistoryGoneError(errors.PlatformError):
    """The store no longer has the changes after a revision."""


class StoreRestoredError(HistoryGoneError):
    """The store was restored, or an answer is from before a restoration."""


class EraUnknownError(errors.PlatformError):
    """An answer does not say its era although earlier ones did."""


class _StatusWrite(msgspec.Struct, kw_only=True):
    """Body of a write that leaves the spec as it is."""

    metadata: ObjectMetadata
    status: msgspec.Raw


class _ListAnswer(msgspec.Struct):
    items: list[msgspec.Raw]
    current_rev: int
    has_more: bool


class _WatchAnswer(msgspec.Struct):
    events: list[msgspec.Raw]
    current_rev: int


class _Event(msgspec.Struct):
    object: StoreObject
    removed: bool = False


class StoreClient:
    """Calls the store and counts calls and failures.

    Parameters
    ----------
    address
        ``ip:port`` of the store.
    timeout_s
        Time limit of one call, in seconds; a watch may wait longer.

    Attributes
    ----------
    era
        Newest era that an answer stated; ``NO_ERA`` before the first.
    answered_at
        Monotonic time of the newest answer that was no refusal, in seconds.
    on_restored
        Functions that are called with the old and the new era when the
        store has been restored.
    """

    def __init__(
        self, *, address: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        """Create the connection pool, which connects on first use."""
        self.timeout_s = timeout_s
        self.era = _revision.NO_ERA
        self.era_known = False
        self.answered_at = float("-inf")
        self.on_restored: list[Callable[[int, int], None]] = []
        host, _, port = address.rpartition(":")
        self.pool = http_pools.connection_pool(
            host, int(port), maxsize=MAX_CONNECTIONS
        )

    def get_object(self, kind: str, name: str) -> StoreObject | None:
        """Return one object, or None.

        Raises
        ------
        PlatformError
            The store did not answer.
        """
        answer = self._call("GET", _path(kind, name), extra_statuses=NOT_FOUND)
        if answer.status == http.HTTPStatus.NOT_FOUND:
            return None
        return decode(answer.data, StoreObject, "object")

    def create_object(self, kind: str, wanted: StoreObject) -> StoreObject:
        """Create an object and return it as stored.

        Raises
        ------
        ConflictError
            An object of that name exists.
        PlatformError
            The object may or may not have been created.
        """
        return self._write("POST", _path(kind), wanted)

    def replace_object(self, kind: str, wanted: StoreObject) -> StoreObject:
        """Replace an object if it is at the revision of ``wanted``.

        Raises
        ------
        ConflictError
            The object is at another revision or was removed.
        PlatformError
            The object may or may not have been replaced.
        """
        name = wanted.metadata.name
        return self._write("PUT", _path(kind, name), wanted)

    def replace_status(self, kind: str, wanted: StoreObject) -> StoreObject:
        """Replace an object's status if it is at the revision of ``wanted``.

        Raises
        ------
        ConflictError
            The object is at another revision or was removed.
        PlatformError
            The status may or may not have been replaced.
        """
        path = f"{_path(kind, wanted.metadata.name)}/status"
        return self._write(
            "PUT",
            path,
            _StatusWrite(metadata=wanted.metadata, status=wanted.status),
        )

    def list_objects(self, kind: str, *, stale: bool = False) -> ObjectList:
        """Return all objects of a kind; skip those without a readable name.

        Parameters
        ----------
        stale
            Whether objects may be seconds old, at a tenth of the price.

        Raises
        ------
        StoreRestoredError
            The store was restored between two pages.
        PlatformError
            The store did not answer, or not with a whole list.
        """
        listed_objects: list[StoreObject] = []
        size = 0
        first_revision = None
        after = ""
        options = {"serializable": "1"} if stale else {}
        while True:
            query = f"?{parse.urlencode(options)}" if options else ""
            data = self._call("GET", _path(kind) + query).data
            size += len(data)
            answer = _decode_answer(data, _ListAnswer, "items")
            # A watch from the revision of the first page also returns the
            # changes made between two pages.
            if first_revision is None:
                first_revision = _revision.Revision(
                    self.era, answer.current_rev
                )
            self._check_era(first_revision)
            page = [_decode_object(raw) for raw in answer.items]
            readable = [stored for stored in page if stored is not None]
            listed_objects.extend(readable)
            last = readable[-1].metadata.name if readable else ""
            if not answer.has_more:
                return ObjectList(
                    objects=listed_objects, revision=first_revision
                )
            if last <= after:
                # What follows is unknown, so that the list is not whole.
                raise errors.PlatformError(
                    f"list of {kind}: no name to continue from after {after!r}"
                )
            if size > MAX_LIST_BYTES:
                raise errors.PlatformError(
                    f"list of {kind} exceeds {MAX_LIST_BYTES} bytes"
                )
            after = last
            options["after"] = last

    def watch(
        self, kind: str, revision: _revision.Revision, wait_s: float
    ) -> ChangeList:
        """Wait for changes of a kind after ``revision``.

        Raises
        ------
        HistoryGoneError
            The store no longer has the changes or was restored meanwhile;
            list the objects again.
        PlatformError
            The store did not answer.
        """
        self._check_era(revision)
        wait_ms = int(wait_s * MS_PER_S)
        data = self._call(
            "GET",
            f"{_path(kind)}?watch={revision.number}&wait_ms={wait_ms}",
            timeout_s=wait_s + WATCH_EXTRA_TIMEOUT_S,
        ).data
        self._check_era(revision)
        answer = _decode_answer(data, _WatchAnswer, "events")
        events = [_decode_event(raw) for raw in answer.events]
        return ChangeList(
            changes=[event for event in events if event is not None],
            revision=_revision.Revision(self.era, answer.current_rev),
        )

    def _check_era(self, revision: _revision.Revision) -> None:
        """Raise StoreRestoredError if a revision is of an earlier era."""
        if revision.era != self.era:
            raise StoreRestoredError(
                f"revision {revision.number} of era {revision.era} is void,"
                f" the store is in era {self.era}"
            )

    def _record_era(self, answer: bounded_http.Answer) -> None:
        """Record the era of an answer; refuse one from an earlier era.

        Raises
        ------
        StoreRestoredError
            The answer is from an earlier era.
        EraUnknownError
            The answer has no readable era although earlier ones had.
        """
        stated = answer.headers.get(ERA_HEADER)
        era = _revision.parse_era(stated)
        if era is None:
            if stated is not None:
                LOG.warning(
                    "era of the store unreadable", extra={"era": stated}
                )
            if self.era_known:
                telemetry.count(
                    telemetry.Metric.STORE_ANSWERS_DROPPED, label="no era"
                )
                raise EraUnknownError(
                    f"answer without a readable era, expected {self.era}"
                )
            return
        if era < self.era:
            LOG.warning(
                "answer of an earlier era of the store dropped",
                extra={"era": era, "newest_era": self.era},
            )
            telemetry.count(
                telemetry.Metric.STORE_ANSWERS_DROPPED, label="earlier era"
            )
            raise StoreRestoredError(
                f"answer of era {era}, the store is in era {self.era}"
            )
        before, self.era = self.era, era
        if self.era_known and era > before:
            LOG.warning(
                "store restored", extra={"era": era, "era_before": before}
            )
            telemetry.count(telemetry.Metric.STORE_RESTORED)
            for callback in self.on_restored:
                callback(before, era)
        self.era_known = True

    def _write(
        self, method: str, path: str, wanted: StoreObject | _StatusWrite
    ) -> StoreObject:
        answer = self._call(
            method,
            path,
            body=msgspec.json.encode(wanted),
            extra_statuses=CONFLICTS,
        )
        if answer.status in CONFLICTS:
            raise errors.ConflictError(
                f"{wanted.metadata.name} was created, changed or removed by"
                " another writer"
            )
        return decode(answer.data, StoreObject, "object")

    def _call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        extra_statuses: frozenset[int] = frozenset(),
        timeout_s: float | None = None,
    ) -> bounded_http.Answer:
        """Make a call; raise unless success or one of ``extra_statuses``."""
        telemetry.count(telemetry.Metric.PLATFORM_CALLS, label=method)
        try:
            answer = bounded_http.request(
                self.pool,
                method,
                path,
                max_bytes=MAX_ANSWER_BYTES,
                total_s=(timeout_s or self.timeout_s) + MAX_TRANSFER_S,
                body=body,
                headers=JSON_HEADERS if body is not None else None,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=timeout_s or self.timeout_s
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            telemetry.count(telemetry.Metric.PLATFORM_FAILURES, label="none")
            raise _failure(error)(f"{method} {path}: {error}")
        self._record_era(answer)
        if answer.status == http.HTTPStatus.GONE:
            raise HistoryGoneError(
                f"{method} {path}: the store no longer has the changes"
            )
        if (
            answer.status not in SUCCESS
            and answer.status not in extra_statuses
        ):
            telemetry.count(
                telemetry.Metric.PLATFORM_FAILURES, label=str(answer.status)
            )
            raise errors.PlatformError(
                f"{method} {path}: status {answer.status}"
            )
        self.answered_at = time.monotonic()
        return answer


def _failure(
    error: urllib3.exceptions.HTTPError,
) -> type[errors.PlatformError]:
    """Return the exception for a call without an answer."""
    if isinstance(
        error,
        (urllib3.exceptions.TimeoutError, bounded_http.AnswerTooSlowError),
    ):
        return errors.PlatformTimeoutError
    return errors.PlatformError


def _path(kind: str, name: str | None = None) -> str:
    path = f"/v1/objects/{kind}"
    return path if name is None else f"{path}/{parse.quote(name, safe='')}"


def decode(data: bytes | msgspec.Raw, wanted, description: str):
    """Decode an answer; on failure replace invalid UTF-8 and try again.

    Raises
    ------
    PlatformError
        The answer cannot be decoded as ``wanted``.
    """
    try:
        return msgspec.json.decode(data, type=wanted)
    except decoding.UNREADABLE:
        readable = bytes(data).decode("utf-8", "replace").encode()
    try:
        return msgspec.json.decode(readable, type=wanted)
    except decoding.UNREADABLE as error:
        raise errors.PlatformError(
            f"unreadable {description} in the store's answer: {error}"
        )


def _decode_answer(data: bytes, wanted, array: str):
    """Decode an answer with an array of objects, none of which it decodes.

    Raises
    ------
    PlatformError
        What surrounds the objects is unreadable.
    """
    try:
        return msgspec.json.decode(data, type=wanted)
    except decoding.UNREADABLE:
        # One object that another writer left can cause this.
        pass
    try:
        members = _json_text.split_members(data)
        elements = _json_text.split_elements(members.get(array, b""))
        members[array] = b"[]"
        answer = msgspec.json.decode(
            _json_text.join_members(members), type=wanted
        )
    except decoding.UNREADABLE as error:
        raise errors.PlatformError(
            f"unreadable {array} in the store's answer: {error}"
        )
    setattr(answer, array, [msgspec.Raw(element) for element in elements])
    return answer


def _decode_object(raw: msgspec.Raw) -> StoreObject | None:
    """Return an object; its spec or status is null if it is unreadable."""
    try:
        return msgspec.json.decode(raw, type=StoreObject)
    except decoding.UNREADABLE as error:
        reason = str(error)
    try:
        members = _json_text.split_members(bytes(raw))
        metadata = msgspec.json.decode(
            members.get("metadata", b""), type=ObjectMetadata
        )
    except decoding.UNREADABLE:
        LOG.warning("unreadable object skipped", extra={"reason": reason})
        return None
    LOG.warning(
        "object unreadable in part",
        extra={"object": metadata.name, "reason": reason},
    )
    return StoreObject(
        metadata=metadata,
        spec=_readable_or_null(members.get("spec", b"")),
        status=_readable_or_null(members.get("status", b"")),
    )


def _readable_or_null(text: bytes) -> msgspec.Raw:
    try:
        msgspec.json.decode(text)
    except decoding.UNREADABLE:
        return msgspec.Raw(b"null")
    return msgspec.Raw(text)


def _decode_event(raw: msgspec.Raw) -> ObjectChange | None:
    """Return a change; None if it does not say of which object."""
    try:
        event = msgspec.json.decode(raw, type=_Event)
        return ObjectChange(object=event.object, removed=event.removed)
    except decoding.UNREADABLE as error:
        reason = str(error)
    try:
        members = _json_text.split_members(bytes(raw))
        removed = msgspec.json.decode(
            members.get("removed", b"false"), type=bool
        )
        stored = _decode_object(msgspec.Raw(members.get("object", b"")))
    except decoding.UNREADABLE:
        LOG.warning("unreadable change skipped", extra={"reason": reason})
        return None
    if stored is None:
        return None
    return ObjectChange(object=stored, removed=removed)
