"""Where an entry learns that a target is cold."""

import enum


class ColdSource(enum.Enum):
    """What said for how long a target is cold."""

    REGISTRATION = "registration"
    AGENT = "agent"
    ANSWER = "answer"
    # It started again, and nothing says for how long it is cold.
    RESTART = "restart"
    # Its agent has stopped reporting, so it may be cold.
    SILENCE = "silence"
