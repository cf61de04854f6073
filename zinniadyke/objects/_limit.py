"""The limit kind."""

import msgspec

from zinniadyke.objects import _registry


@_registry.register("limit", scope="workspace")
class Limit(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits of a workspace's requests at all entries together.

    Attributes
    ----------
    rate
        Requests per second; 0 for no limit.
    concurrency
        Requests in flight; 0 for no limit.
    queue
        Requests of one priority that may be queued at one entry.
    """

    rate: float = 0.0
    concurrency: int = 0
    queue: int = 256
