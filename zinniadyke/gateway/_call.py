"""A caller's request with everything that was decided about it."""

import enum
import time

import msgspec

from zinniadyke import directory
from zinniadyke.gateway import _request
from zinniadyke import ids


class Call(msgspec.Struct, kw_only=True):
    """A request that may be served.

    Attributes
    ----------
    deadline
        Monotonic time at which it must have its final answer, in seconds.
    objective_at
        Monotonic time until which an answer is on time.
    model
        The model that it asks; empty for plain services.
    tried
        Targets that it was sent to, in order.
    last_event_id
        Last stream event that the caller has; empty when none.
    """

    request: _request.CallerRequest
    id: ids.RequestId
    route: directory.Route
    service: ids.ServiceName
    workspace: ids.WorkspaceName | None
    priority: int
    deadline: float
    objective_at: float
    model: str
    last_event_id: str
    tried: list[ids.TargetId] = []
    sent_at: float = 0.0

    @property
    def left_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - time.monotonic()


class Outcome(enum.Enum):
    """How one attempt ended.

    ``NOT_RUN``: the target proved it, or nothing was sent. ``BROKEN``: no
    whole answer; it may have run. ``FAILED``: the target's own failure.
    """

    ANSWERED = "answered"
    NOT_RUN = "not run"
    BROKEN = "broken"
    FAILED = "failed"
