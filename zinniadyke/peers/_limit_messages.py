"""Messages between entry and agent about limits of workspaces."""

from zinniadyke import ids
from zinniadyke.peers import _message


class TakeToken(_message.Message):
    """Entry to agent: one more request of a workspace wants to run.

    Attributes
    ----------
    rate_per_s
        Requests a second that the workspace may send to all entries.
    """

    workspace: ids.WorkspaceName
    rate_per_s: float


class TokenTaken(_message.Message):
    """Agent to entry: whether the request may run.

    Attributes
    ----------
    wait_s
        Time until it may, in seconds; 0 if it may now.
    """

    wait_s: float
