"""A clock for tests of what depends on time."""


class Clock:
    """A monotonic clock that the test moves."""

    now = 100.0

    def monotonic(self) -> float:
        return self.now
