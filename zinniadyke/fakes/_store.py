"""Stand-in of the users' metadata store: lists, pages and watches."""

from urllib import parse

import eventlet
from eventlet import event

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
    reads
        Calls that were made.
    """

    def __init__(
        self, *, address: str = "127.0.0.1:0", page: int = 500
    ) -> None:
        """Start empty."""
        self.page = page
        self.down = 0
        self.silent = False
        self.reads = 0
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

    def put(self, kind: str, name: str, spec: object) -> None:
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
        self.reads += 1
        while self.silent:
            eventlet.sleep(0.02)
        if self.down:
            return _http.answer(start_response, f"{self.down} Down")
        kind = environ["PATH_INFO"].removeprefix("/v1/objects/")
        query = {
            name: values[0]
            for name, values in parse.parse_qs(
                environ.get("QUERY_STRING", "")
            ).items()
        }
        if "watch" in query:
            return self._watch(kind, query, start_response)
        return self._list(kind, query.get("after", ""), start_response)

    def _list(self, kind: str, after: str, start_response):
        names = sorted(n for n in self.objects.get(kind, {}) if n > after)
        shown = names[: self.page]
        return _http.answer_json(
            start_response,
            {
                "items": [self.objects[kind][n] for n in shown],
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
