"""Validates a request and determines its route, workspace and deadline."""

import random

from zinniadyke import directory
from zinniadyke import errors
from zinniadyke.gateway import _call
from zinniadyke.gateway import _caller_wait
from zinniadyke.gateway import _request
from zinniadyke.gateway import _request_work
from zinniadyke.gateway import _scope
from zinniadyke import ids
from zinniadyke import platform
from zinniadyke.platform import headers
from zinniadyke import requests

MS_PER_S = 1000.0
MAX_REQUEST_ID_CHARS = 200
# Largest deadline header that is accepted, and its default.
MAX_DEADLINE_S = 3600.0


def build_call(
    request: _request.CallerRequest,
    configuration: directory.ServingConfiguration,
    wait_estimator: _caller_wait.CallerWaitEstimator,
) -> _call.Call:
    """Return the call for a request.

    Parameters
    ----------
    wait_estimator
        Estimates how long the caller has been waiting.

    Raises
    ------
    RequestError
        The request is malformed or not allowed.
    """
    if request.header_count("host") != 1:
        raise _bad_request("exactly one Host is needed")
    request_id = request.header(headers.REQUEST_ID)
    if (
        len(request_id) > MAX_REQUEST_ID_CHARS
        or request.header_count(headers.REQUEST_ID) > 1
    ):
        raise _bad_request("the request id is repeated or too long")
    host = request.header("host").rpartition(":")[0] or request.header("host")
    route = configuration.find_route(host.lower(), request.path)
    if route is None:
        raise errors.RequestError(
            "no route for this host and path",
            code=errors.ResultCode.NOT_FOUND,
        )
    workspace = _find_workspace(request, configuration, route)
    deadline_s = _deadline_s(request)
    waited_s = wait_estimator.waited_s(route.name, deadline_s)
    wait_s = min(deadline_s, route.timeout_s)
    stated = workspace.priority if workspace is not None else None
    service = choose_service(route)
    return _call.Call(
        request=request,
        id=ids.RequestId(request_id),
        route=route,
        service=service,
        workspace=workspace.name if workspace else None,
        priority=route.priority if stated is None else stated,
        workspace_priority=stated,
        engine_priority=(
            min(max(route.priority, 0), headers.MAX_ENGINE_PRIORITY)
            if configuration.has_classes(service)
            else None
        ),
        deadline=request.arrived_at + wait_s,
        caller_deadline=request.arrived_at + deadline_s,
        objective_at=request.arrived_at - waited_s + route.objective_s,
        waited_s=waited_s,
        model=request.header(headers.MODEL),
        allowed_regions=_scope.intersect_regions(
            route.allowed_regions,
            workspace.allowed_regions if workspace else None,
        ),
        configuration=configuration,
        prompt_parts=platform.shared_prompt_parts(
            request.header(headers.PREFIX_HASH),
            request.header(headers.MODEL),
        ),
        content=requests.digest_content(
            request.method.encode(),
            host.lower().encode("latin-1"),
            request.target,
            (workspace.name if workspace else "").encode(),
            # Without a body, only the header tells prompts apart.
            request.body or request.header(headers.PREFIX_HASH).encode(),
        ),
        work=_estimate_work(request, configuration, service),
        last_event_id=request.header(headers.LAST_EVENT_ID),
    )


def _estimate_work(
    request: _request.CallerRequest,
    configuration: directory.ServingConfiguration,
    service: ids.ServiceName,
) -> _request_work.RequestWork:
    found = configuration.services.get(service)
    if found is None or found.engine is None:
        return _request_work.UNKNOWN_WORK
    return _request_work.estimate_work(
        platform.parse_token_counts(
            request.header(headers.TOKEN_COUNTS),
            request.header(headers.LENGTH_HINT),
        ),
        found.engine,
    )


def choose_service(route: directory.Route) -> ids.ServiceName:
    """Return one of the route's services, drawn by weight.

    Raises
    ------
    RequestError
        The route has no services.
    """
    backends = [b for b in route.backends if b.weight > 0]
    if not backends:
        raise errors.RequestError(code=errors.ResultCode.NO_TARGET)
    if len(backends) == 1:
        return backends[0].service
    drawn = random.choices(backends, [b.weight for b in backends])
    return drawn[0].service


def _find_workspace(
    request: _request.CallerRequest,
    configuration: directory.ServingConfiguration,
    route: directory.Route,
) -> directory.Workspace | None:
    if configuration.workspaces is None:
        return None
    found = None
    if request.header_count(headers.API_KEY) == 1:
        key = request.header(headers.API_KEY)
        found = configuration.workspaces.get(key)
    if found is None and not route.public:
        raise errors.RequestError(
            "unknown or missing API key",
            code=errors.ResultCode.UNAUTHENTICATED,
        )
    return found


def _deadline_s(request: _request.CallerRequest) -> float:
    text = request.header(headers.DEADLINE_MS)
    if not text:
        return MAX_DEADLINE_S
    try:
        wait_s = float(text) / MS_PER_S
    except ValueError:
        raise _bad_request("the deadline is not a number of milliseconds")
    if not 0 <= wait_s <= MAX_DEADLINE_S:
        raise _bad_request("the deadline is out of range")
    return wait_s


def _bad_request(message: str) -> errors.RequestError:
    return errors.RequestError(message, code=errors.ResultCode.BAD_REQUEST)
