"""Routes, which map requests to services."""

import enum

import msgspec

from zinniadyke import ids


class RetryMode(enum.Enum):
    """How a request whose outcome is unknown may be retried.

    ``RESUME`` continues a stream after its last received event.
    """

    NEVER = "never"
    RETRY = "again"
    RESUME = "resume"


class Backend(msgspec.Struct, frozen=True, kw_only=True):
    """A service that takes a share of a route's requests."""

    service: ids.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """One route of a configuration.

    Attributes
    ----------
    path_prefix
        Path prefix; begins and ends with a slash.
    timeout_s
        Longest time that a request may wait for its answer, in seconds.
    objective_s
        Latency objective in seconds, up to the whole answer or the first
        event of a stream.
    max_gap_s
        Longest pause between the events of a stream, in seconds.
    max_attempts
        Number of targets that one request may be sent to.
    priority
        Priority; 0 is the most urgent.
    public
        Whether requests need no API key.
    allowed_regions
        Regions in which requests may be served; None means all regions.
    """

    name: str
    host: str
    path_prefix: str
    retry_mode: RetryMode
    streaming: bool
    timeout_s: float
    objective_s: float
    max_gap_s: float
    max_attempts: int
    priority: int
    public: bool
    backends: tuple[Backend, ...]
    allowed_regions: frozenset[ids.RegionName] | None = None
