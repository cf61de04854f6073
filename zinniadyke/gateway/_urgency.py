"""How urgent a request is, compared with others for the same service."""

import msgspec


class Urgency(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """Priorities of a request; the lower one is more urgent.

    Load: classes with routes of different priority whose callers belong to
    the same workspaces. The workspace's priority goes first, and the route's
    decides between equal ones.

    Attributes
    ----------
    workspace
        Priority of the workspace, or of the route if it states none.
    route
        Priority of the route.
    """

    workspace: int
    route: int
