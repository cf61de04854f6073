"""Writes log lines without ever waiting for their reader."""

from collections.abc import Callable
import os
import time

from eventlet import patcher

# eventlet's own write waits until the reader takes the bytes.
_write = patcher.original("os").write

# Lines in a second, and at once; what is over is counted and left out.
LINES_PER_S = 300.0
BURST_LINES = 600.0
# Bytes that are kept while the reader does not take them.
MAX_PENDING_BYTES = 256 * 1024


class LineWriter:
    """Writes lines to a file descriptor, or drops and counts them.

    Attributes
    ----------
    dropped
        Lines that were left out since the last one that was not.
    """

    def __init__(
        self, *, fd: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Make the descriptor non-blocking."""
        self.fd = fd
        self.clock = clock
        self.dropped = 0
        self.tokens = BURST_LINES
        self.filled_at = clock()
        self.pending = b""
        os.set_blocking(fd, False)

    def write(self, line: str) -> bool:
        """Write a line; False if it was left out."""
        self._fill()
        data = line.encode("utf-8", "replace") + b"\n"
        if self.tokens < 1 or len(self.pending) > MAX_PENDING_BYTES:
            self.dropped += 1
            self.flush()
            return False
        self.tokens -= 1
        self.dropped = 0
        self.pending += data
        self.flush()
        return True

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        try:
            while self.pending:
                written = _write(self.fd, self.pending)
                self.pending = self.pending[written:]
        except BlockingIOError:
            # The reader is slow; what is pending goes with the next line.
            return
        except OSError:
            # Nobody reads; there is no place left to report that to.
            self.pending = b""

    def _fill(self) -> None:
        now = self.clock()
        gained = (now - self.filled_at) * LINES_PER_S
        self.tokens = min(BURST_LINES, self.tokens + gained)
        self.filled_at = now
