"""Numbered result codes."""

import enum


class Ran(enum.Enum):
    """Whether the target ran a request."""

    RAN = "ran"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class ResultCode(enum.Enum):
    """Result of a request, an order or a command.

    Each member has a number, the HTTP status of the response, whether the
    request ran, and a one-line summary.
    """

    OK = (1000, 200, Ran.RAN, "completed")

    BAD_REQUEST = (2001, 400, Ran.NOT_RUN, "the request is malformed")
    UNAUTHENTICATED = (2002, 401, Ran.NOT_RUN, "no valid bearer token")
    FORBIDDEN = (2003, 403, Ran.NOT_RUN, "the token does not allow this")
    NOT_FOUND = (2004, 404, Ran.NOT_RUN, "no such model, service or object")
    TOO_LARGE = (2005, 413, Ran.NOT_RUN, "the request is over a size limit")
    KEY_IN_PROGRESS = (
        2006,
        409,
        Ran.UNKNOWN,
        "a request with this idempotency key has not ended",
    )
    KEY_REUSED = (
        2007,
        422,
        Ran.NOT_RUN,
        "the idempotency key belongs to another request",
    )

    RATE_LIMITED = (3001, 429, Ran.NOT_RUN, "over the workspace's rate")
    QUEUE_FULL = (3002, 429, Ran.NOT_RUN, "the workspace's queue is full")
    QUEUE_TIMEOUT = (3003, 503, Ran.NOT_RUN, "no capacity in time")
    NO_TARGET = (3004, 503, Ran.NOT_RUN, "no target can take the request")
    SHUTTING_DOWN = (3005, 503, Ran.NOT_RUN, "the host is shutting down")
    CLAIM_UNAVAILABLE = (
        3006,
        503,
        Ran.NOT_RUN,
        "the platform is down, so at most once cannot be assured",
    )
    NOT_READY = (3007, 503, Ran.NOT_RUN, "no configuration yet")
    PROMPT_REFUSED = (
        3008,
        503,
        Ran.NOT_RUN,
        "a part of the prompt crashes targets",
    )
    CONTENT_REFUSED = (
        3009,
        503,
        Ran.NOT_RUN,
        "an equal request crashes targets",
    )
    REGION_UNAVAILABLE = (
        3010,
        503,
        Ran.NOT_RUN,
        "no target in the allowed regions",
    )
    ZONES_EVACUATED = (
        3011,
        503,
        Ran.NOT_RUN,
        "the targets' zones are evacuated",
    )
    OUT_OF_MEMORY = (
        3012,
        503,
        Ran.NOT_RUN,
        "the body does not fit in memory",
    )

    TARGET_FAILED = (4001, 502, Ran.RAN, "the target ran it and failed")
    OUTCOME_UNKNOWN = (4002, 504, Ran.UNKNOWN, "no answer from the target")
    STREAM_BROKEN = (4003, 502, Ran.UNKNOWN, "the answer was cut short")
    DRAINING = (4004, 503, Ran.NOT_RUN, "the target takes no new work")
    VERSION_CHANGED = (4005, 503, Ran.NOT_RUN, "another version is serving")
    ATTEMPT_CLOSED = (4006, 503, Ran.NOT_RUN, "the attempt was closed")
    TARGET_BUSY = (4007, 503, Ran.NOT_RUN, "the target has no free slot")
    ALREADY_STARTED = (4008, 504, Ran.UNKNOWN, "the attempt had started")
    CANCELLED = (4009, 499, Ran.UNKNOWN, "the caller left")

    CHUNK_CORRUPT = (5001, 500, Ran.NOT_RUN, "a chunk's digest is wrong")
    ORIGIN_CHANGED = (5002, 500, Ran.NOT_RUN, "the origin's bytes changed")
    ORIGIN_UNAVAILABLE = (5003, 503, Ran.NOT_RUN, "the origin did not answer")
    NO_MEMORY = (5004, 507, Ran.NOT_RUN, "the weights exceed the budget")
    LOAD_FAILED = (5005, 502, Ran.UNKNOWN, "the engine did not load")
    LOADED_MISMATCH = (5006, 502, Ran.RAN, "the engine holds other bytes")
    CHUNK_UNAVAILABLE = (5007, 503, Ran.NOT_RUN, "no holder has the chunk")

    STALE_FENCE = (6001, 409, Ran.NOT_RUN, "the fencing number is too low")
    STALE_INCARNATION = (6002, 409, Ran.NOT_RUN, "a newer agent is current")
    NOT_STAGED = (6003, 409, Ran.NOT_RUN, "the weights are not staged")
    WAITING_FLOOR = (6004, 409, Ran.NOT_RUN, "the floor leaves no permit")

    SYNTAX = (7001, 400, Ran.NOT_RUN, "the statement cannot be read")
    INVALID = (7002, 400, Ran.NOT_RUN, "the declaration is not valid")
    CONFLICT = (7003, 409, Ran.NOT_RUN, "another change came first")
    PLATFORM_UNAVAILABLE = (7004, 503, Ran.NOT_RUN, "the platform is down")
    CHANGE_UNKNOWN = (7005, 504, Ran.UNKNOWN, "ask again with the change id")
    WAIT_TIMEOUT = (7006, 504, Ran.RAN, "the condition was not met in time")

    SETTINGS = (8001, 500, Ran.NOT_RUN, "the settings are not valid")

    INTERNAL = (9001, 500, Ran.UNKNOWN, "a fault of zinniadyke")

    def __init__(
        self, number: int, status: int, ran: Ran, summary: str
    ) -> None:
        """Store the parts of the member's value."""
        self.number = number
        self.status = status
        self.ran = ran
        self.summary = summary

    @classmethod
    def from_number(cls, number: int) -> "ResultCode":
        """Return the member with ``number``, or INTERNAL if none has it."""
        return _BY_NUMBER.get(number, cls.INTERNAL)


_BY_NUMBER = {code.number: code for code in ResultCode}
