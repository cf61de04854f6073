"""The configuration that entries serve requests with."""

import msgspec

from zinniadyke.directory import _route
from zinniadyke.directory import _service
from zinniadyke import ids


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on what callers send and on the time that they take.

    Attributes
    ----------
    max_header_bytes, max_body_bytes
        Largest accepted header block and body.
    header_timeout_s
        Longest time for a caller to send a header block, in seconds.
    idle_timeout_s
        Longest time that a connection stays open without a request, in
        seconds.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """A workspace.

    Attributes
    ----------
    priority
        Priority of its requests; None means the route's priority.
    allowed_regions
        Regions in which its requests may be served; None means all regions.
    """

    name: ids.WorkspaceName
    priority: int | None
    allowed_regions: frozenset[ids.RegionName] | None = None


class ServingConfiguration(msgspec.Struct, kw_only=True):
    """One version of the configuration, indexed for requests.

    Attributes
    ----------
    routes
        The routes of each host, longest path prefix first.
    workspaces
        Workspaces by API key; None if no request needs a key.
    priorities
        Priorities of the routes to each service.
    """

    version: ids.ConfigurationVersion
    routes: dict[str, list[_route.Route]]
    services: dict[ids.ServiceName, _service.Service]
    limits: CallerLimits
    workspaces: dict[str, Workspace] | None
    priorities: dict[ids.ServiceName, set[int]] = {}

    def __post_init__(self) -> None:
        """Collect the priorities of the routes."""
        self.priorities = {}
        for routes in self.routes.values():
            for route in routes:
                for backend in route.backends:
                    self.priorities.setdefault(backend.service, set()).add(
                        route.priority
                    )

    def has_classes(self, service: ids.ServiceName) -> bool:
        """Whether routes to a service differ in priority."""
        return len(self.priorities.get(service, ())) > 1

    def find_route(self, host: str, path: str) -> _route.Route | None:
        """Return the host's route with the longest prefix of ``path``."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def named_regions(self) -> frozenset[ids.RegionName]:
        """Return the regions that lists of allowed regions name."""
        lists = [
            route.allowed_regions
            for routes in self.routes.values()
            for route in routes
        ]
        lists += [w.allowed_regions for w in (self.workspaces or {}).values()]
        return frozenset().union(*(names for names in lists if names))

    def find_origin(self) -> _service.Origin | None:
        """Return the origin of weights, or None if no service has one."""
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
    for host_routes in indexed.values():
        host_routes.sort(key=lambda r: len(r.path_prefix), reverse=True)
    return indexed
