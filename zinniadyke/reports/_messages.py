"""Datagrams between entries and agents, and between agents.

Plain UDP is used instead of pyzmq: a newer report soon replaces one that is
lost, and the library would take 10 MB of memory in each process.
"""

import msgspec

from zinniadyke import decoding
from zinniadyke import ids

VersionAgesMs = dict[str, dict[int, int | None]]


class Evacuations(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Zones that are evacuated as of a revision of the store.

    Attributes
    ----------
    era, revision
        The store's era and the revision in it.
    """

    era: int
    revision: int
    zones: list[ids.ZoneName]


# Requests per second by priority of their route.
DemandByPriority = dict[int, float]


class Subscribe(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=1
):
    """An entry's subscription to an agent's reports, valid for seconds.

    Attributes
    ----------
    named
        Time since the sender observed each version of a model as desired,
        in ms; None if unknown.
    region
        Region of the entry; empty if it does not say.
    evacuations
        Evacuated zones that the entry knows of; None if it knows of none.
    demand
        The entry's demand for the agent's target.
    """

    entry: str
    named: VersionAgesMs
    region: str = ""
    evacuations: Evacuations | None = None
    demand: DemandByPriority = {}


class LoadReport(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=2
):
    """State of a target's engine.

    Attributes
    ----------
    born_ms
        Unix time in ms of the target's start, as registered; 0 if unknown.
    running, waiting
        Number of requests of all callers that run or wait there.
    entries
        Number of entries that subscribe to these reports.
    switching
        Whether it accepts no new requests because it changes its weights.
    switch_in_ms
        Time until it changes its weights; None if no change is near.
    weights
        Version of each model that it holds completely.
    named
        As in ``Subscribe``.
    leaving
        Whether the target said that it is leaving.
    local_entries
        Number of the subscribed entries in the target's region.
    sent_ms
        Uptime of the agent's host when it sent the report; 0 if unknown.
    limit_per_s
        Requests a second that the target takes from all entries together;
        None if it names no limit.
    evacuations
        Newest evacuations that the agent was told; None before the first.
    demand
        Demand for the target of all subscribed entries.
    cold_ms
        Time for which the target is still cold; 0 if it is not.
    pace
        Factor by which work takes longer than usual on the target's host;
        None if the agent has seen no load header that states one.
    kv_used, kv_total
        KV cache that cannot be freed, and its capacity, in tokens x layers;
        0 if unknown.
    """

    address: str
    born_ms: int
    running: int
    waiting: int
    entries: int
    switching: bool
    switch_in_ms: int | None
    weights: dict[str, int]
    named: VersionAgesMs
    leaving: bool = False
    local_entries: int = 0
    sent_ms: int = 0
    limit_per_s: float | None = None
    evacuations: Evacuations | None = None
    demand: DemandByPriority = {}
    cold_ms: int = 0
    pace: float | None = None
    kv_used: int = 0
    kv_total: int = 0


class PieceQuery(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=3
):
    """An agent's query for the pieces of another, valid for about a second."""

    model: str
    version: int


class PieceReport(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=4
):
    """The pieces of a version that an agent has.

    Attributes
    ----------
    have
        Indexes of the pieces, as a bit string.
    """

    model: str
    version: int
    have: bytes


# Content and prompt parts of requests, by request id.
SuspectsByRequest = dict[ids.RequestId, list[ids.Suspect]]


class Interruption(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=5
):
    """An entry's requests that a target cut off before it began to answer.

    Attributes
    ----------
    born_ms
        Unix time in ms of the target's start, as registered; 0 if unknown.
    """

    address: str
    born_ms: int
    requests: SuspectsByRequest


class CrashReport(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=6
):
    """A crash of a target and what all entries reported of it.

    Attributes
    ----------
    crash
        Identifies the crash.
    age_ms
        Time since the crash, in ms.
    """

    address: str
    crash: ids.CrashId
    age_ms: int
    requests: SuspectsByRequest


class SuspectNews(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=7
):
    """What an entry has learned about requests that crash targets.

    Attributes
    ----------
    name
        Identifies the news; its copies have the same name.
    refused
        Time for which each suspect is refused, in ms.
    cleared
        What was suspected, and with which a request was served.
    """

    name: str
    refused: dict[ids.Suspect, int]
    cleared: list[ids.Suspect]


class TokenRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=8
):
    """An entry's request to send one more request to a target.

    Attributes
    ----------
    born_ms
        Unix time in ms of the target's start, as registered; 0 if unknown.
    limit_per_s
        Requests a second that the target takes from all entries together.
    lifetime_ms
        Time for which a token shall be valid after it falls due.
    wait_ms
        Time for which a request waits for a token that is not due yet.
    asked_ms
        Uptime of the entry's host when it asked; 0 if it does not say.
    """

    address: str
    born_ms: int
    limit_per_s: float
    lifetime_ms: int = 1000
    wait_ms: int = 200
    asked_ms: int = 0


class TokenAnswer(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=9
):
    """An agent's answer to a ``TokenRequest``.

    Attributes
    ----------
    granted
        Whether the entry may send one more request to the target.
    next_in_ms
        Time until this entry gets a token without asking again, in ms; 0
        with a granted one.
    lifetime_ms
        Time for which a granted token, or the answer, is valid.
    lent_ms
        Uptime of the entry's host at the answer, or shortly before:
        ``asked_ms`` plus the time that the request has waited at the
        agent. 0 if the entry did not say when it asked.
    """

    address: str
    born_ms: int
    granted: bool
    next_in_ms: int
    lifetime_ms: int = 1000
    lent_ms: int = 0


class RefusedCaller(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """A request that an entry has just refused; its caller may return.

    Attributes
    ----------
    content
        Digest of what the request asks for.
    deadline_in_ms
        Time until the caller's deadline, in ms.
    waited_ms
        Time since the caller first sent the request, in ms.
    """

    content: ids.RequestContent
    deadline_in_ms: int
    waited_ms: int


class RefusedCallers(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=10
):
    """Requests that an entry has refused, for the entries of its region."""

    callers: list[RefusedCaller]


Message = (
    Subscribe
    | LoadReport
    | PieceQuery
    | PieceReport
    | Interruption
    | CrashReport
    | SuspectNews
    | TokenRequest
    | TokenAnswer
    | RefusedCallers
)

_DECODER = msgspec.msgpack.Decoder(Message)
_ENCODER = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Encode a message as a datagram."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Decode a datagram.

    Raises
    ------
    ValueError
        The datagram is not a message.
    """
    try:
        return _DECODER.decode(data)
    except decoding.UNREADABLE as error:
        raise ValueError(str(error))
