"""Datagrams between entries and agents, and between agents.

Plain datagrams take the place of pyzmq here: a report that is lost is
followed by a newer one, and a process does without the 10 MB that the
library takes.
"""

import msgspec


VersionAgesMs = dict[str, dict[int, int | None]]


class Subscribe(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=1
):
    """An entry wants an agent's reports for the next seconds.

    Attributes
    ----------
    named
        Time since the sender saw each version of a model named, in ms;
        None when it does not know.
    """

    entry: str
    named: VersionAgesMs


class LoadReport(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=2
):
    """What a target's engine says of itself.

    Attributes
    ----------
    born_ms
        Start of the target, as in its registration; 0 when not told.
    running, waiting
        Requests of all callers that run or wait there.
    entries
        Entries that ask for these reports.
    switching
        Whether it takes nothing new because it changes its weights.
    switch_in_ms
        Time until it changes its weights; None when that is not near.
    weights
        Version of each model that it holds whole.
    named
        As in a subscription.
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


class PieceQuery(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=3
):
    """An agent wants to know which pieces another has, for a second."""

    model: str
    version: int


class PieceReport(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=4
):
    """The pieces of a version that an agent has.

    Attributes
    ----------
    have
        Their indexes, as a bit string.
    """

    model: str
    version: int
    have: bytes


Message = Subscribe | LoadReport | PieceQuery | PieceReport

_DECODER = msgspec.msgpack.Decoder(Message)
_ENCODER = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Return a message's datagram."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Read a datagram.

    Raises
    ------
    ValueError
        It is no message.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ValueError(str(error))
