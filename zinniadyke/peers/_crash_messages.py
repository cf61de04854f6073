"""What agents and entries tell one another of crashes of engines."""

import msgspec

from zinniadyke import ids


class EngineCrash(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A crash of the engine beside an agent.

    Attributes
    ----------
    crash
        Identifies the crash.
    age_s
        Time since the crash, in seconds.
    suspects
        Content and prompt parts of the requests that the engine had not begun
        to answer.
    """

    crash: ids.CrashId
    age_s: float
    suspects: dict[ids.RequestId, list[ids.Suspect]]


class SuspectFindings(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """What entries have found out about requests that crash engines.

    Attributes
    ----------
    refused
        Time for which each suspect is refused, in seconds.
    cleared
        Time since a request with each of these suspects was served, in
        seconds.
    """

    refused: dict[ids.Suspect, float] = {}
    cleared: dict[ids.Suspect, float] = {}
