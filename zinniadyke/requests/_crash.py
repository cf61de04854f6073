"""What is known of one crash of a target."""

from collections.abc import Mapping

import msgspec

from zinniadyke import ids


class Crash(msgspec.Struct, frozen=True, kw_only=True):
    """A crash, and the requests that the target had not begun to answer.

    Attributes
    ----------
    at
        Monotonic time of the crash, in seconds.
    suspects
        Content and prompt parts of each of these requests.
    """

    at: float
    suspects: Mapping[ids.RequestId, frozenset[ids.Suspect]]
