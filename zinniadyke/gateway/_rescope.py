"""Applies the newest configuration to a call that is being served."""

from zinniadyke import directory
from zinniadyke.gateway import _call
from zinniadyke.gateway import _scope


def rescope(
    call: _call.Call, configuration: directory.ServingConfiguration | None
) -> None:
    """Give a call the allowed regions that a configuration sets.

    A call whose route or workspace no longer exists keeps its own.

    Load: called before each choice of a target, so it does nothing while
    the configuration is the same.
    """
    if configuration is None or call.configuration is configuration:
        return
    call.configuration = configuration
    route = next(
        (
            r
            for r in configuration.routes.get(call.route.host, ())
            if r.name == call.route.name
        ),
        None,
    )
    if route is None:
        return
    regions = route.allowed_regions
    if call.workspace is not None:
        workspace = next(
            (
                w
                for w in (configuration.workspaces or {}).values()
                if w.name == call.workspace
            ),
            None,
        )
        if workspace is None:
            return
        regions = _scope.intersect_regions(regions, workspace.allowed_regions)
    call.allowed_regions = regions
