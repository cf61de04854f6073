"""Estimates how long reports of an agent wait in a congested link."""

# The fastest report of this time is the base that others are compared with.
BASE_WINDOW_S = 20.0


class ReportDelay:
    """Delay of an agent's reports beyond the fastest recent one.

    The clocks of two hosts differ by an unknown offset, which the fastest
    report of the last ``BASE_WINDOW_S`` to twice that time contains.

    Attributes
    ----------
    delay_s
        Delay of the last report, in seconds.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self.delay_s = 0.0
        self.window_started_at = float("-inf")
        self.least_s = float("inf")
        self.least_before_s = float("inf")

    def record(self, sent_s: float, arrived_s: float) -> None:
        """Record a report.

        Parameters
        ----------
        sent_s, arrived_s
            Time of sending, by the agent's clock, and of arrival, by this
            host's, in seconds.
        """
        if arrived_s > self.window_started_at + BASE_WINDOW_S:
            self.window_started_at = arrived_s
            self.least_before_s, self.least_s = self.least_s, float("inf")
        offset_s = arrived_s - sent_s
        self.least_s = min(self.least_s, offset_s)
        self.delay_s = offset_s - min(self.least_s, self.least_before_s)
