"""Fake of the platform's object store with paged lists and watches."""

import copy
from urllib import parse

import eventlet
from eventlet import event
import msgspec

from zinniadyke.fakes import _http

MS_PER_S = 1000.0
STATUS_SUFFIX = "/status"


class FakeStore:
    """Stores objects by kind and name under one revision counter.

    Parameters
    ----------
    page_size
        Largest number of objects in one list answer.

    Attributes
    ----------
    down
        HTTP status of every answer; 0 while the store is up.
    silent
        Whether requests get no answer.
    lose_answers
        Number of writes to apply without sending an answer.
    reads, writes
        Number of requests received.
    oldest_revision
        First revision that the change history can contain.
    era
        Era that every answer states in its header; None to state none.
    """

    def __init__(
        self, *, address: str = "127.0.0.1:0", page_size: int = 500
    ) -> None:
        """Start without objects."""
        self.page_size = page_size
        self.down = 0
        self.silent = False
        self.lose_answers = 0
        self.reads = 0
        self.writes = 0
        self.revision = 1
        self.oldest_revision = 1
        self.era: int | str | None = 0
        self.objects: dict[str, dict[str, dict]] = {}
        self.changes: list[tuple[int, str, dict, bool]] = []
        self.changed = event.Event()
        self.server = _http.HttpServer(application=self, address=address)
        self.address = self.server.address

    def stop(self) -> None:
        """Stop the server."""
        self.server.stop()

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Create or replace an object, as an operator or target would."""
        self.revision += 1
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": 1,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self._record_change(kind, stored, removed=False)
        return stored

    def put_status(self, kind: str, name: str, status: object) -> dict:
        """Replace the status of an object, as another writer would."""
        self.revision += 1
        before = self.objects[kind][name]
        stored = {
            **before,
            "metadata": {**before["metadata"], "revision": self.revision},
            "status": status,
        }
        self.objects[kind][name] = stored
        self._record_change(kind, stored, removed=False)
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        self._record_change(kind, self.objects[kind].pop(name), removed=True)

    def compact_history(self) -> None:
        """Drop the change history, so that earlier watches must list again."""
        self.changes.clear()
        self.oldest_revision = self.revision + 1
        self.revision += 1
        self._notify_watches()

    def snapshot(self) -> tuple[int, dict]:
        """Return a copy of the store, for :meth:`restore`."""
        return self.revision, copy.deepcopy(self.objects)

    def restore(self, snapshot: tuple[int, dict]) -> None:
        """Go back to a copy and start a new era, in which it is all.

        Revisions after the copy are given out again. A watch from one of
        them gets 410, like one from before the copy.
        """
        self.revision, objects = snapshot
        self.objects = copy.deepcopy(objects)
        self.changes.clear()
        self.oldest_revision = self.revision + 1
        self.era += 1
        self._notify_watches()

    def __call__(self, environ, start_response):
        """Serve one request and state the era in the answer."""

        def start_with_era(status, headers, *more):
            if self.era is not None:
                headers = [*headers, ("Store-Era", str(self.era))]
            return start_response(status, headers, *more)

        return self._serve(environ, start_with_era)

    def _serve(self, environ, start_response):
        writes = environ["REQUEST_METHOD"] in ("POST", "PUT")
        self.writes += writes
        self.reads += not writes
        while self.silent:
            eventlet.sleep(0.02)
        if self.down:
            return _http.answer(start_response, f"{self.down} Down")
        path = environ["PATH_INFO"].removeprefix("/v1/objects/")
        kind, _, name = path.partition("/")
        if writes and name.endswith(STATUS_SUFFIX):
            return self._write_status(kind, environ, start_response)
        if writes:
            return self._write(kind, environ, start_response)
        if name:
            return self._get(kind, name, start_response)
        query = {
            name: values[0]
            for name, values in parse.parse_qs(
                environ.get("QUERY_STRING", "")
            ).items()
        }
        if "watch" in query:
            return self._watch(kind, query, start_response)
        return self._list(kind, query.get("after", ""), start_response)

    def visible_objects(self, kind: str) -> dict[str, dict]:
        """Return the objects of a kind that a list contains, by name."""
        return self.objects.get(kind, {})

    def _get(self, kind: str, name: str, start_response):
        found = self.objects.get(kind, {}).get(name)
        if found is None:
            return _http.answer(start_response, "404 Not Found")
        return _http.answer_json(start_response, found)

    def _write(self, kind: str, environ, start_response):
        """Create or replace an object if its name and revision allow it."""
        requested = msgspec.json.decode(_http.read_body(environ))
        name, revision = (
            requested["metadata"][field] for field in ("name", "revision")
        )
        current = self.objects.get(kind, {}).get(name)
        if environ["REQUEST_METHOD"] == "POST":
            if current is not None:
                return _http.answer_json(
                    start_response, current, "409 Conflict"
                )
        elif current is None:
            return _http.answer(start_response, "404 Not Found")
        elif revision and revision != current["metadata"]["revision"]:
            return _http.answer_json(start_response, current, "409 Conflict")
        if current is None or current["spec"] != requested["spec"]:
            current = self.put(kind, name, requested["spec"])
        if self.lose_answers > 0:
            self.lose_answers -= 1
            _http.abort_connection()
        return _http.answer_json(start_response, current)

    def _write_status(self, kind: str, environ, start_response):
        """Replace a status if the object is at the stated revision."""
        requested = msgspec.json.decode(_http.read_body(environ))
        name, revision = (
            requested["metadata"][field] for field in ("name", "revision")
        )
        current = self.objects.get(kind, {}).get(name)
        if current is None:
            return _http.answer(start_response, "404 Not Found")
        if revision != current["metadata"]["revision"]:
            return _http.answer_json(start_response, current, "409 Conflict")
        current = self.put_status(kind, name, requested["status"])
        if self.lose_answers > 0:
            self.lose_answers -= 1
            _http.abort_connection()
        return _http.answer_json(start_response, current)

    def _list(self, kind: str, after: str, start_response):
        visible_objects = self.visible_objects(kind)
        names = sorted(n for n in visible_objects if n > after)
        page_names = names[: self.page_size]
        return _http.answer_json(
            start_response,
            {
                "items": [visible_objects[n] for n in page_names],
                "has_more": len(names) > len(page_names),
                "current_rev": self.revision,
            },
        )

    def _watch(self, kind: str, query: dict, start_response):
        since = int(query["watch"])
        if not self.oldest_revision - 1 <= since <= self.revision:
            return _http.answer(start_response, "410 Gone")
        era = self.era
        with eventlet.Timeout(int(query["wait_ms"]) / MS_PER_S, False):
            while era == self.era and not self._changes_since(kind, since):
                self.changed.wait()
        if era != self.era:
            return _http.answer(start_response, "410 Gone")
        if self.down:
            return _http.answer(start_response, f"{self.down} Down")
        return _http.answer_json(
            start_response,
            {
                "events": [
                    {"object": stored, "removed": removed}
                    for stored, removed in self._changes_since(kind, since)
                ],
                "current_rev": self.revision,
            },
        )

    def _changes_since(self, kind: str, since: int) -> list[tuple[dict, bool]]:
        return [
            (stored, removed)
            for revision, changed_kind, stored, removed in self.changes
            if changed_kind == kind and revision > since
        ]

    def _record_change(
        self, kind: str, stored: dict, *, removed: bool
    ) -> None:
        self.changes.append((self.revision, kind, stored, removed))
        self._notify_watches()

    def _notify_watches(self) -> None:
        changed, self.changed = self.changed, event.Event()
        changed.send()
