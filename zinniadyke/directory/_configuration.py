"""The configuration that entries serve by."""

import msgspec

from zinniadyke.directory import _route
from zinniadyke.directory import _service
from zinniadyke import ids


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What callers may send, and how long they may take.

    Attributes
    ----------
    max_header_bytes, max_body_bytes
        Largest header block and body.
    header_timeout_s
        Time that a caller may take to send a header block.
    idle_timeout_s
        Time that a connection may stay without a request.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """A workspace and the rank of its requests; None is the route's."""

    name: ids.WorkspaceName
    priority: int | None


class ServingConfiguration(msgspec.Struct, kw_only=True):
    """One version of the configuration, indexed for requests.

    Attributes
    ----------
    routes
        The routes of each host, longest path prefix first.
    workspaces
        Workspaces by API key. None: no request needs a key.
    """

    version: ids.ConfigurationVersion
    routes: dict[str, list[_route.Route]]
    services: dict[ids.ServiceName, _service.Service]
    limits: CallerLimits
    workspaces: dict[str, Workspace] | None

    def find_route(self, host: str, path: str) -> _route.Route | None:
        """Return the route with the longest prefix of ``path``."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_origin(self) -> _service.Origin | None:
        """Return where weights come from."""
        for service in self.services.values():
            if service.origin is not None:
                return service.origin
        return None


def index_routes(
    routes: list[_route.Route],
) -> dict[str, list[_route.Route]]:
    """Return the routes of each host, longest path prefix first."""
    indexed: dict[str, list[_route.Route]] = {}
    for route in routes:
        indexed.setdefault(route.host, []).append(route)
    for found in indexed.values():
        found.sort(key=lambda r: len(r.path_prefix), reverse=True)
    return indexed
