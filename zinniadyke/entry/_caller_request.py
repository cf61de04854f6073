"""A caller's request once it has been checked."""

import time

import msgspec

from zinniadyke import ids
from zinniadyke import objects


class CallerRequest(msgspec.Struct, kw_only=True):
    """One request that is to be routed.

    Attributes
    ----------
    versions
        Version to its part of the requests in per cent; empty for any.
    idempotent
        Whether it may run more than once.
    key
        The caller's idempotency key; empty for none.
    deadline
        Monotonic time by which it must have ended, in seconds.
    """

    request_id: ids.RequestId
    workspace: ids.WorkspaceName
    request_class: str
    service: ids.ServiceName
    declared: objects.Service
    model: ids.ModelName
    versions: dict[str, int]
    priority: int
    share: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    stream: bool
    idempotent: bool
    key: str
    deadline: float
    max_queued: int

    def time_left_s(self) -> float:
        """Return the time until the deadline, in seconds."""
        return self.deadline - time.monotonic()
