"""Datagrams between entries and agents.

Plain datagrams take the place of pyzmq here: a report that is lost is
followed by a newer one, and a process does without the 10 MB that the
library takes.
"""

import msgspec


class Subscribe(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=1
):
    """An entry wants an agent's reports for the next seconds.

    Attributes
    ----------
    named
        Version of each model's weights that operators name.
    """

    entry: str
    named: dict[str, int]


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
    switching
        Whether it takes nothing new because it changes its weights.
    weights
        Version of each model that it holds whole.
    """

    address: str
    born_ms: int
    running: int
    waiting: int
    switching: bool
    weights: dict[str, int]


Message = Subscribe | LoadReport

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
