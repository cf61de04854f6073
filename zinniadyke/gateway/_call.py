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
    waited_s
        Time that the caller had waited before this try, in seconds.
    model
        The model that it asks; empty for plain services.
    tried
        Targets that it was sent to, in order.
    last_event_id
        Last stream event that the caller has; empty when none.
    sent_at, first_part_at, last_part_at
        Monotonic time at which it was first sent to a target, and at which
        the first and the last part of the answer were passed on.
    queue_length_at_decision, expected_wait_s, max_wait_s
        Requests that waited when admission looked at the call, the wait it
        expected, and the longest one after which the answer would be late.
    load_at_send, load_age_s
        Requests at the target as known when the call was first sent there,
        and the age of the target's report.
    longest_gap_s
        Longest time between two parts of the answer.
    """

    request: _request.CallerRequest
    id: ids.RequestId
    route: directory.Route
    service: ids.ServiceName
    workspace: ids.WorkspaceName | None
    priority: int
    deadline: float
    objective_at: float
    waited_s: float = 0.0
    model: str
    last_event_id: str
    tried: list[ids.TargetId] = []
    sent_at: float | None = None
    first_part_at: float | None = None
    last_part_at: float | None = None
    longest_gap_s: float = 0.0
    queue_length_at_decision: int = 0
    expected_wait_s: float = 0.0
    max_wait_s: float = 0.0
    load_at_send: int = 0
    load_age_s: float = 0.0

    def record_part(self) -> None:
        """Count a part of the answer that is passed on."""
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

    ``NOT_RUN``: the target proved it, or nothing was sent. ``BROKEN``: no
    whole answer; it may have run. ``FAILED``: the target's own failure.
    """

    ANSWERED = "answered"
    NOT_RUN = "not run"
    BROKEN = "broken"
    FAILED = "failed"
