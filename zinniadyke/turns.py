"""Lets other green threads run while bytes keep arriving.

A green thread that finds bytes each time it receives never waits. Without a
turn for the hub, no other green thread runs and no time limit is noticed until
the sender stops.
"""

import time
import weakref

import eventlet
import greenlet

# Bytes that a green thread receives in one turn.
TURN_BYTES = 4096
# Time that a green thread keeps the processor while it receives, in seconds.
TURN_S = 0.005


class Turn:
    """What a green thread has received since it last waited.

    Attributes
    ----------
    received_bytes
        Number of bytes.
    began_at
        Monotonic time of the first receipt, in seconds.
    """

    __slots__ = ("began_at", "received_bytes")

    def __init__(self) -> None:
        """Start with nothing received."""
        self.received_bytes = 0
        self.began_at = time.monotonic()


TURNS: weakref.WeakKeyDictionary[greenlet.greenlet, Turn] = (
    weakref.WeakKeyDictionary()
)


def record(size: int) -> None:
    """Count bytes that the current green thread received without a wait."""
    current = greenlet.getcurrent()
    turn = TURNS.get(current)
    if turn is None:
        turn = TURNS[current] = Turn()
    turn.received_bytes += size


def end() -> None:
    """Note that the current green thread has waited."""
    TURNS.pop(greenlet.getcurrent(), None)


def yield_if_due() -> None:
    """Let others run if the current green thread's turn is over.

    Time limits that have passed are raised here.
    """
    turn = TURNS.get(greenlet.getcurrent())
    if turn is not None and (
        turn.received_bytes >= TURN_BYTES
        or time.monotonic() - turn.began_at >= TURN_S
    ):
        end()
        eventlet.sleep(0)
