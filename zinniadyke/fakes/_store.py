"""Stand-in of the platform's store: objects, lists, pages and watches."""

from urllib import parse

import eventlet
from eventlet import event
import msgspec

from zinniadyke.fakes import _http

MS_PER_S = 1000.0


class FakeStore:
    """Objects by kind and name, with one counter of revisions.

    Parameters
    ----------
    page
        Objects that one list answer holds at most.

    Attributes
    ----------
    down
        Status that every call is answered with; 0 while the store is up.
    silent
        Whether calls get no answer.
    lose_answers
        That many writes take effect, and their answers are lost.
    reads, writes
        Calls that were made.
    """

    def __init__(
        self, *, address: str = "127.0.0.1:0", page: int = 500
    ) -> None:
        """Start empty."""
        self.page = page
        self.down = 0
        self.silent = False
        self.lose_answers = 0
        self.reads = 0
        self.writes = 0
        self.revision = 1
        self.oldest_change = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self.changes: list[tuple[int, str, dict, bool]] = []
        self.changed = event.Event()
        self.server = _http.HttpServer(application=self, address=address)
        self.address = self.server.address

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop()

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Create or replace an object, as operators and targets do."""
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
        self._note(kind, stored, removed=False)
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        self._note(kind, self.objects[kind].pop(name), removed=True)

    def forget_history(self) -> None:
        """Drop all changes; watches from before must list again."""
        self.changes.clear()
        self.oldest_change = self.revision + 1
        self.revision += 1
        self._wake()

    def __call__(self, environ, start_response):
        """Serve one call."""
        writes = environ["REQUEST_METHOD"] in ("POST", "PUT")
        self.writes += writes
        self.reads += not writes
        while self.silent:
            eventlet.sleep(0.02)
        if self.down:
            return _http.answer(start_response, f"{self.down} Down")
        path = environ["PATH_INFO"].removeprefix("/v1/objects/")
        kind, _, name = path.partition("/")
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

    def listed(self, kind: str) -> dict[str, dict]:
        """Return the objects of a kind, by name, as a list shows them."""
        return self.objects.get(kind, {})

    def _get(self, kind: str, name: str, start_response):
        found = self.objects.get(kind, {}).get(name)
        if found is None:
            return _http.answer(start_response, "404 Not Found")
        return _http.answer_json(start_response, found)

    def _write(self, kind: str, environ, start_response):
        """Create or replace an object under the store's conditions."""
        wanted = msgspec.json.decode(_http.read_body(environ))
        name, revision = (
            wanted["metadata"][field] for field in ("name", "revision")
        )
        present = self.objects.get(kind, {}).get(name)
        if environ["REQUEST_METHOD"] == "POST":
            if present is not None:
                return _http.answer_json(
                    start_response, present, "409 Conflict"
                )
        elif present is None:
            return _http.answer(start_response, "404 Not Found")
        elif revision and revision != present["metadata"]["revision"]:
            return _http.answer_json(start_response, present, "409 Conflict")
        if present is None or present["spec"] != wanted["spec"]:
            present = self.put(kind, name, wanted["spec"])
        if self.lose_answers > 0:
            self.lose_answers -= 1
            _http.abort()
        return _http.answer_json(start_response, present)

    def _list(self, kind: str, after: str, start_response):
        listed = self.listed(kind)
        names = sorted(n for n in listed if n > after)
        shown = names[: self.page]
        return _http.answer_json(
            start_response,
            {
                "items": [listed[n] for n in shown],
                "has_more": len(names) > len(shown),
                "current_rev": self.revision,
            },
        )

    def _watch(self, kind: str, query: dict, start_response):
        since = int(query["watch"])
        if since < self.oldest_change - 1:
            return _http.answer(start_response, "410 Gone")
        with eventlet.Timeout(int(query["wait_ms"]) / MS_PER_S, False):
            while not self._since(kind, since):
                self.changed.wait()
        if self.down:
            return _http.answer(start_response, f"{self.down} Down")
        return _http.answer_json(
            start_response,
            {
                "events": [
                    {"object": stored, "removed": removed}
                    for stored, removed in self._since(kind, since)
                ],
                "current_rev": self.revision,
            },
        )

    def _since(self, kind: str, since: int) -> list[tuple[dict, bool]]:
        return [
            (stored, removed)
            for revision, changed_kind, stored, removed in self.changes
            if changed_kind == kind and revision > since
        ]

    def _note(self, kind: str, stored: dict, *, removed: bool) -> None:
        self.changes.append((self.revision, kind, stored, removed))
        self._wake()

    def _wake(self) -> None:
        changed, self.changed = self.changed, event.Event()
        changed.send()
