"""Finds the route of a request and explains the choice."""

import msgspec

from zinniadyke import errors
from zinniadyke import objects

SAFE_METHODS = ("GET", "HEAD", "OPTIONS")


class RouteMatch(msgspec.Struct, frozen=True, kw_only=True):
    """The route that matches a request.

    Attributes
    ----------
    service
        Name of the service that the route leads to.
    declared
        Declaration of that service.
    """

    name: str
    route: objects.Route
    service: str
    declared: objects.Service


def find_route(
    configuration: objects.Configuration,
    workspace: str,
    request_class: str,
    *,
    model: str = "",
    service: str = "",
) -> RouteMatch:
    """Return the workspace's route to a model or a service.

    A route for the request class takes precedence over a route for all
    classes. Of equal routes the first by name is used.

    Raises
    ------
    RequestError
        NOT_FOUND: the workspace has no matching route.
    """
    found = [
        (not route.classes, key.name, route)
        for key, route in configuration.of_kind("route", workspace)
        if (route.model, route.service) == (model, service)
        and (not route.classes or request_class in route.classes)
    ]
    if not found:
        raise errors.RequestError(
            f"workspace {workspace} has no route to"
            f" '{model or service}' for class '{request_class}'",
            code=errors.ResultCode.NOT_FOUND,
        )
    _, name, route = min(found, key=lambda item: item[:2])
    if model:
        service = configuration.get("model", model).service
    declared = configuration.get("service", service)
    return RouteMatch(
        name=name, route=route, service=service, declared=declared
    )


def is_idempotent(
    declared: objects.Service, method: str, path: str, is_model: bool
) -> bool:
    """Return whether a request may run more than once.

    Requests to models are idempotent, because they change no state.
    """
    if is_model or method in SAFE_METHODS:
        return True
    for rule in declared.idempotent:
        allowed_method, _, prefix = rule.partition(" ")
        if allowed_method == method and path.startswith(prefix):
            return True
    return False


def explain(
    configuration: objects.Configuration,
    workspace: str,
    model: str,
    request_class: str,
) -> list[str]:
    """Return lines that explain which route is used and why."""
    lines = []
    for key, route in configuration.of_kind("route", workspace):
        lines.append(
            f"route {key.name}: {_describe_match(route, model, request_class)}"
        )
    try:
        found = find_route(
            configuration, workspace, request_class, model=model
        )
    except errors.RequestError as error:
        return [*lines, f"not found: {error.message}"]
    versions = found.route.versions or "whatever a target serves"
    return [
        *lines,
        f"taken: {found.name} to service {found.service},"
        f" versions {versions}, priority {found.route.priority}",
    ]


def _describe_match(
    route: objects.Route, model: str, request_class: str
) -> str:
    if route.model != model:
        return f"is for {route.model or route.service}"
    if not route.classes:
        return "fits, for all classes"
    if request_class in route.classes:
        return f"fits, for class {request_class}"
    return f"is for classes {', '.join(route.classes)}"
