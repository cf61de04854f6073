"""The operators' HTTP API: apply, plan and query."""

import time
import urllib.parse

import eventlet
import msgspec

from zinniadyke import control
from zinniadyke.entry import _auth
from zinniadyke.entry import _http
from zinniadyke.entry import _read_request
from zinniadyke.entry import _routing
from zinniadyke.entry import _rows
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import language
from zinniadyke import objects

MAX_STATEMENTS_BYTES = 1 << 20
WAIT_POLL_S = 0.2


class QueryResult(msgspec.Struct, kw_only=True):
    """Result of a query: rows, or lines of text."""

    rows: list[dict] = []
    lines: list[str] = []


class OperatorApi:
    """Serves operators, within the permissions of their role.

    Parameters
    ----------
    entry
        The entry process.
    """

    def __init__(self, *, entry) -> None:
        """Store the entry."""
        self.entry = entry
        self.node = entry.node
        self.rows = _rows.RowBuilder(entry=entry)

    def respond(self, environ, start_response, identity: _auth.Identity):
        """Serve one HTTP request.

        Raises
        ------
        ZinniadykeError
            The request failed; the error carries the numbered result code.
        """
        if identity.role is _auth.Role.CALLER:
            raise errors.RequestError(code=errors.ResultCode.FORBIDDEN)
        action = environ["PATH_INFO"].removeprefix(_http.OPERATOR_PREFIX)
        body = _read_request.read_body(environ, MAX_STATEMENTS_BYTES)
        options = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        text = body.decode("utf-8", "replace")
        if action == "apply":
            result = self._apply(text, options, identity)
        elif action == "plan":
            result = self._plan(text, options, identity)
        elif action == "query":
            result = self._query(text, identity)
        else:
            raise errors.RequestError(
                f"no such action: {action}", code=errors.ResultCode.NOT_FOUND
            )
        return _http.respond_json(start_response, result)

    def _apply(
        self, text: str, options: dict, identity: _auth.Identity
    ) -> control.Accepted:
        changes = self._parse_changes(text, options, identity)
        change_id = options.get("change_id") or ids.new_change_id()
        return control.accept(
            self.node.client,
            changes,
            author=options.get("author", identity.role.value),
            change_id=ids.ChangeId(change_id),
        )

    def _plan(
        self, text: str, options: dict, identity: _auth.Identity
    ) -> QueryResult:
        current = self._accepted_configuration()
        changes = self._parse_changes(text, options, identity, current)
        planned = control.plan_changes(current, changes)
        return QueryResult(lines=[c.describe(current) for c in planned])

    def _accepted_configuration(self) -> objects.Configuration:
        stored = control.read_head(self.node.client)
        return control.load_configuration(self.node.client, stored.head)

    def _parse_changes(
        self, text, options, identity, current=None
    ) -> list[control.Change]:
        file = options.get("file", "")
        statements = language.parse(text, file=file)
        current = current or self._accepted_configuration()
        changes = language.to_changes(statements, current, file=file)
        for change in changes:
            _check_allowed(change, identity, current)
        return changes

    def _query(self, text: str, identity: _auth.Identity) -> QueryResult:
        statements = language.parse(text)
        if len(statements) != 1:
            raise errors.DeclarationError("expected exactly one query")
        query = statements[0]
        if isinstance(query, language.Show):
            rows = self._rows(query.kind, identity)
            return QueryResult(rows=language.select(rows, query))
        if isinstance(query, language.Explain):
            _check_workspace(query.workspace, identity)
            return QueryResult(
                lines=_routing.explain(
                    self.node.configuration,
                    query.workspace,
                    query.model,
                    query.request_class or _read_request.DEFAULT_CLASS,
                )
            )
        if isinstance(query, language.Wait):
            return self._wait(query)
        raise errors.DeclarationError("not a query; send it as an apply")

    def _rows(self, kind: str, identity: _auth.Identity) -> list[dict]:
        rows = self.rows.of_kind(kind)
        if identity.role is _auth.Role.ADMIN:
            return rows
        return [r for r in rows if r.get("workspace") == identity.workspace]

    def _wait(self, query: language.Wait) -> QueryResult:
        deadline = time.monotonic() + query.within_s
        while time.monotonic() < deadline:
            progress = control.read_progress(self.node.client, query.rollout)
            if progress is not None:
                row = msgspec.to_builtins(progress)
                if language.matches(row, query.condition):
                    return QueryResult(rows=[row])
            eventlet.sleep(WAIT_POLL_S)
        raise errors.UserError(
            f"rollout {query.rollout}: condition not met"
            f" within {query.within_s:g} s",
            code=errors.ResultCode.WAIT_TIMEOUT,
        )


def _check_allowed(
    change: control.Change,
    identity: _auth.Identity,
    current: objects.Configuration,
) -> None:
    """Allow a workspace's operators to change only its own routes.

    Such a route may lead only to a model or service that a current route of
    the workspace already leads to; fleet operators add new ones.

    Raises
    ------
    RequestError
        FORBIDDEN: the change is not allowed.
    """
    if identity.role is _auth.Role.ADMIN:
        return
    is_own = change.key.scope == identity.workspace
    if change.key.kind != "route" or not is_own:
        raise _forbidden_error(change, identity)
    reachable = [
        (route.model, route.service)
        for _, route in current.of_kind("route", identity.workspace)
    ]
    new_route = change.value
    if new_route and (new_route.model, new_route.service) not in reachable:
        raise _forbidden_error(change, identity)


def _forbidden_error(
    change: control.Change, identity: _auth.Identity
) -> errors.RequestError:
    return errors.RequestError(
        f"{change.key}: operators of workspace {identity.workspace}"
        f" may not make this change",
        code=errors.ResultCode.FORBIDDEN,
    )


def _check_workspace(name: str, identity: _auth.Identity) -> None:
    if identity.role is not _auth.Role.ADMIN and name != identity.workspace:
        raise errors.RequestError(code=errors.ResultCode.FORBIDDEN)
