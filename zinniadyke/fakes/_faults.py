"""Fault settings of the stand-ins; a test changes them while they run."""

import msgspec


class PlatformFaults(msgspec.Struct, kw_only=True):
    """Faults of the object API.

    Attributes
    ----------
    down
        Every call is answered with 503.
    latency_s
        Added to each call, in seconds.
    lose_answers
        That many writes take effect, and their answers are lost.
    hosts_lag_s
        Age of the host list that is returned, in seconds.
    """

    down: bool = False
    latency_s: float = 0.0
    lose_answers: int = 0
    hosts_lag_s: float = 0.0


class OriginFaults(msgspec.Struct, kw_only=True):
    """Faults of the origin.

    Attributes
    ----------
    corrupt_reads
        That many reads return a flipped byte.
    change_after_reads
        After that many more reads the bytes and the revision change.
    """

    down: bool = False
    latency_s: float = 0.0
    corrupt_reads: int = 0
    change_after_reads: int = -1


class EngineFaults(msgspec.Struct, kw_only=True):
    """Faults of an engine or service.

    Attributes
    ----------
    load_s
        Time that a load takes beside the transfer, in seconds.
    truncate_loads
        That many loads keep only the first half of the bytes, silently.
    die_after_frames
        A stream ends abruptly after that many frames; -1 for never.
    stall_after_frames
        A stream stops for ``stall_s`` after that many frames.
    reported_running
        The load that is reported, whatever runs; -1 for the true one.
    """

    down: bool = False
    latency_s: float = 0.0
    load_s: float = 0.0
    truncate_loads: int = 0
    fail_loads: int = 0
    die_after_frames: int = -1
    stall_after_frames: int = -1
    reported_running: int = -1
    stall_s: float = 0.0
