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
        Prompt parts of the requests that the engine had not begun to answer.
    """

    crash: ids.CrashId
    age_s: float
    suspects: dict[ids.RequestId, list[ids.PromptPart]]


class SuspectFindings(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """What entries have found out about prompt parts that crash engines.

    Attributes
    ----------
    refused
        Time for which each part is refused, in seconds.
    cleared
        Time since a request with each of these parts was served, in seconds.
    """

    refused: dict[ids.PromptPart, float] = {}
    cleared: dict[ids.PromptPart, float] = {}
