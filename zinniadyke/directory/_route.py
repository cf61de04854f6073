"""A route: which requests go to which service, and how."""

import enum

import msgspec

from zinniadyke import ids


class RetryMode(enum.Enum):
    """What may be done with a request whose outcome is unknown."""

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
        Begins and ends with a slash.
    timeout_s
        Longest time that a request may wait for its answer, in seconds.
    objective_s
        Latency objective, to the whole answer or a stream's first event.
    max_gap_s
        Longest pause between a stream's events, in seconds.
    max_attempts
        Targets that one request may be sent to.
    priority
        Rank; 0 is the most urgent.
    public
        Whether requests need no key.
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
