"""Faults that tests set on running fakes."""

import msgspec


class PlatformFaults(msgspec.Struct, kw_only=True):
    """Faults of the platform's object API.

    Attributes
    ----------
    down
        Whether to answer every request with status 503.
    latency_s
        Delay added to each request, in seconds.
    lose_answers
        Number of writes to apply without sending an answer.
    hosts_lag_s
        Age of the returned host list, in seconds.
    """

    down: bool = False
    latency_s: float = 0.0
    lose_answers: int = 0
    hosts_lag_s: float = 0.0


class OriginFaults(msgspec.Struct, kw_only=True):
    """Faults of the weights origin.

    Attributes
    ----------
    corrupt_reads
        Number of reads to return with one flipped bit.
    change_after_reads
        Read, counted from the start, at which the blob and its revision
        change; -1 for never.
    """

    down: bool = False
    latency_s: float = 0.0
    corrupt_reads: int = 0
    change_after_reads: int = -1


class EngineFaults(msgspec.Struct, kw_only=True):
    """Faults of a model engine or plain service.

    Attributes
    ----------
    load_s
        Time that a load takes after the transfer, in seconds.
    truncate_loads
        Number of loads that keep only the first half of the bytes and
        report no error.
    fail_loads
        Number of loads to answer with status 500 after the transfer.
    die_after_frames
        Frames after which a stream's connection breaks; -1 for never.
    stall_after_frames
        Frames after which a stream pauses for ``stall_s``; -1 for never.
    reported_running
        Number of running requests to report; -1 reports the actual number.
    stall_s
        Length of the pause in a stream, in seconds.
    crash_on
        Text in a prompt on whose answer the engine crashes as it begins it;
        empty for none. It cuts off all requests and is back after
        ``crash_s`` seconds.
    """

    down: bool = False
    latency_s: float = 0.0
    load_s: float = 0.0
    truncate_loads: int = 0
    crash_on: str = ""
    crash_s: float = 0.5
    fail_loads: int = 0
    die_after_frames: int = -1
    stall_after_frames: int = -1
    reported_running: int = -1
    stall_s: float = 0.0
