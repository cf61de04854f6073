"""What a target reports about its host and its memory."""

from zinniadyke.gateway import _kv_memory
from zinniadyke.gateway import _slowness


class HostFigures:
    """Figures of a target that states its slowness or its KV cache.

    Attributes
    ----------
    slowness
        None if the target has not reported it.
    kv_memory
        None if the target has not reported it.
    waiting
        Requests of all entries that wait there, as last reported.
    sent_since_report
        Requests that this entry has sent since the last report.
    absurd_figure_logged
        Whether an absurd figure of this target was logged.
    """

    def __init__(self) -> None:
        """Start without figures."""
        self.slowness: _slowness.Slowness | None = None
        self.kv_memory: _kv_memory.KvMemory | None = None
        self.waiting = 0
        self.sent_since_report = 0
        self.absurd_figure_logged = False

    def record_load(self, waiting: int) -> None:
        """Record a load report."""
        self.waiting = waiting
        self.sent_since_report = 0

    def record_sent(self, kv_tokens: int) -> None:
        """Record a sent request and the tokens that it may hold."""
        self.sent_since_report += 1
        if self.kv_memory is not None:
            self.kv_memory.record_sent(kv_tokens)

    @property
    def pending(self) -> int:
        """Requests whose prompts the target has not processed yet."""
        return self.waiting + self.sent_since_report
