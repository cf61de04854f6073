"""A caller's request after validation."""

import time

import msgspec

from zinniadyke import ids
from zinniadyke import objects


class CallerRequest(msgspec.Struct, kw_only=True):
    """One validated and routed request.

    Attributes
    ----------
    declared
        Declaration of the service that the request goes to.
    versions
        Percentage of requests for each version; empty for any version.
    share
        The workspace's share in the fair queue.
    idempotent
        Whether the request may run more than once.
    key
        The caller's idempotency key; empty for none.
    deadline_s
        Monotonic time by which the request must end, in seconds.
    max_queued
        Largest number of queued requests of the workspace and priority.
    prompt_parts
        Parts of the prompt that other requests may share.
    content
        Digest of method, service, path, workspace and body.
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
    deadline_s: float
    max_queued: int
    prompt_parts: frozenset[ids.PromptPart] = frozenset()
    content: ids.RequestContent = ids.RequestContent("")

    @property
    def suspects(self) -> frozenset[ids.Suspect]:
        """What may be the cause if an engine crashes on this request."""
        return self.prompt_parts | {self.content}

    def time_left_s(self) -> float:
        """Return the time left until the deadline, in seconds."""
        return self.deadline_s - time.monotonic()
