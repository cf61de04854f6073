"""The process beside a target on the users' platform."""


class Sidecar:
    """Holds the place of the agent until it brings weights."""

    def __init__(self, *, loaded) -> None:
        """Take the settings."""
        self.settings = loaded

    def start(self) -> None:
        """Start nothing yet."""

    def shut_down(self) -> bool:
        """End; nothing is in progress."""
        return True
