"""Manual clock for time-dependent tests."""


class Clock:
    """Monotonic clock that advances only when a test changes ``now``."""

    now = 100.0

    def monotonic(self) -> float:
        return self.now

    def now_s(self) -> float:
        return self.now
