"""Writes log lines without blocking on a slow reader."""

from collections.abc import Callable
import os
import time

from eventlet import patcher

# eventlet's patched os.write blocks until the reader has read the bytes.
_unpatched_write = patcher.original("os").write

# Sustained rate; lines over it are dropped and counted.
LINES_PER_S = 300.0
# Lines that may be written at once after a pause.
BURST_LINES = 600.0
# Once more than this is buffered for a slow reader, lines are dropped.
MAX_PENDING_BYTES = 256 * 1024


class LineWriter:
    """Writes lines to a file descriptor at a limited rate.

    Lines over the rate, or over the buffer of a slow reader, are dropped
    and counted.

    Attributes
    ----------
    dropped
        Lines dropped since the last accepted line.
    """

    def __init__(
        self, *, fd: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Make the descriptor non-blocking."""
        self.fd = fd
        self.clock = clock
        self.dropped = 0
        self.tokens = BURST_LINES
        self.refilled_at_s = clock()
        self.pending = b""
        os.set_blocking(fd, False)

    def write(self, line: str) -> bool:
        """Write or buffer a line; return False if it was dropped."""
        self._refill_tokens()
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
        """Write as many buffered bytes as possible without blocking."""
        try:
            while self.pending:
                written = _unpatched_write(self.fd, self.pending)
                self.pending = self.pending[written:]
        except BlockingIOError:
            # The reader is slow: keep the rest for the next write or flush.
            return
        except OSError:
            # The reader is gone and there is nowhere left to report it.
            self.pending = b""

    def _refill_tokens(self) -> None:
        now = self.clock()
        new_tokens = (now - self.refilled_at_s) * LINES_PER_S
        self.tokens = min(BURST_LINES, self.tokens + new_tokens)
        self.refilled_at_s = now
