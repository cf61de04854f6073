"""A caller's request, with the decisions about it."""

import enum
import time

import msgspec

from zinniadyke import directory
from zinniadyke.gateway import _request
from zinniadyke.gateway import _request_work
from zinniadyke.gateway import _scope
from zinniadyke.gateway import _urgency
from zinniadyke import ids


class Call(msgspec.Struct, kw_only=True):
    """A validated request and what was measured while serving it.

    Attributes
    ----------
    deadline
        Monotonic time by which the caller must have the final response, in
        seconds.
    caller_deadline
        Monotonic time at which the caller gives up, in seconds; the route
        may end the request earlier.
    objective_at
        Latest monotonic time, in seconds, at which the response, or the
        first event of a stream, still meets the route's objective.
    waited_s
        Time that the caller had waited before this request, in seconds.
    priority
        Priority of the workspace, or of the route if it states none.
    workspace_priority
        Priority that the workspace states; None if it states none.
    engine_priority
        Priority that is stated to the target; None if none is.
    model
        Requested model; empty for services without models.
    prompt_parts
        Parts of the prompt that other requests may share.
    allowed_regions
        Regions whose targets may run the request; None means all regions.
    configuration
        Configuration that set the allowed regions; None if unknown.
    content
        Digest of method, host, path, workspace and body.
    work
        Tokens of the request and the arithmetic of the engines.
    tried
        Targets that were attempted, in order.
    last_event_id
        Id of the last event that the caller has received; empty if none.
    sent_at, first_part_at, last_part_at
        Monotonic times at which the first attempt started, and at which the
        first and the latest part of the response were relayed.
    queue_length_at_decision, expected_wait_s, max_wait_s
        Queue length at the admission decision, the wait that was estimated
        then, and the longest wait that still meets the objective and the
        deadline.
    reserved_slots
        Slots left free for more urgent arrivals at the admission decision.
    load_at_send, load_age_s
        Known requests at the target when the first attempt started, and the
        age of the target's load report.
    predicted_s
        Time to the first event that was predicted then; None for a target
        that does not report its slowness.
    longest_gap_s
        Longest time between two parts of the response.
    """

    request: _request.CallerRequest
    id: ids.RequestId
    route: directory.Route
    service: ids.ServiceName
    workspace: ids.WorkspaceName | None
    priority: int
    workspace_priority: int | None = None
    engine_priority: int | None = None
    deadline: float
    caller_deadline: float = float("inf")
    objective_at: float
    waited_s: float = 0.0
    model: str
    allowed_regions: frozenset[ids.RegionName] | None = None
    configuration: directory.ServingConfiguration | None = None
    prompt_parts: frozenset[ids.PromptPart] = frozenset()
    content: ids.RequestContent = ids.RequestContent("")
    work: _request_work.RequestWork = _request_work.UNKNOWN_WORK
    last_event_id: str
    tried: list[ids.TargetId] = []
    sent_at: float | None = None
    first_part_at: float | None = None
    last_part_at: float | None = None
    longest_gap_s: float = 0.0
    queue_length_at_decision: int = 0
    expected_wait_s: float = 0.0
    max_wait_s: float = 0.0
    reserved_slots: int = 0
    load_at_send: int = 0
    load_age_s: float = 0.0
    predicted_s: float | None = None

    @property
    def suspects(self) -> frozenset[ids.Suspect]:
        """What may be the cause if a target crashes on this request."""
        return self.prompt_parts | {self.content}

    @property
    def urgency(self) -> _urgency.Urgency:
        """How urgent it is, compared with others for the service."""
        return _urgency.Urgency(
            workspace=self.priority, route=self.route.priority
        )

    @property
    def scope(self) -> _scope.Scope:
        """Which targets may run the request."""
        return _scope.Scope(
            service=self.service,
            model=self.model,
            allowed_regions=self.allowed_regions,
        )

    def record_part(self) -> None:
        """Record the time of a relayed part of the response."""
        now = time.monotonic()
        if self.last_part_at is None:
            self.first_part_at = now
        else:
            gap_s = now - self.last_part_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_part_at = now

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - time.monotonic()


class Outcome(enum.Enum):
    """How one attempt ended.

    ``NOT_RUN``: the target proved that it did not run the request, or nothing
    was sent. ``BROKEN``: the response is incomplete, and the request may have
    run. ``FAILED``: the target reported a failure of its own.
    """

    ANSWERED = "answered"
    NOT_RUN = "not run"
    BROKEN = "broken"
    FAILED = "failed"
