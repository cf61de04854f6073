"""A retry budget keeps retries from amplifying a failure."""

import time

RETRIES_PER_REQUEST = 0.1
INITIAL_RETRIES = 10.0
MAX_RETRIES = 100.0
WINDOW_S = 10.0


class RetryBudget:
    """Token bucket that allows retries in proportion to first attempts.

    A budget from which nothing was taken for a whole window has its stock
    again. A new one starts empty, as the process before it may just have
    taken its stock: however often processes restart, no window has more
    retries than ``max_balance`` and what the requests in it add.

    Parameters
    ----------
    ratio
        Retries added for each first attempt.
    max_balance
        Largest number of unused retries that the budget keeps.
    stock
        Retries that the budget has after a window without any.
    window_s
        Length of the window, in seconds.
    unused_since
        Monotonic time since which nothing was taken; the present by default.
    """

    def __init__(
        self,
        *,
        ratio: float = RETRIES_PER_REQUEST,
        max_balance: float = MAX_RETRIES,
        stock: float = INITIAL_RETRIES,
        window_s: float = WINDOW_S,
        unused_since: float | None = None,
    ) -> None:
        """Start without retries."""
        self.ratio = ratio
        self.max_balance = max_balance
        self.stock = stock
        self.window_s = window_s
        self.unused_since = (
            time.monotonic() if unused_since is None else unused_since
        )
        self.balance = 0.0

    def set_max_balance(self, max_balance: float) -> None:
        """Set the largest balance and reduce the current one to it."""
        self.max_balance = max_balance
        self.balance = min(self.balance, max_balance)

    def deposit(self) -> None:
        """Add ``ratio`` retries for a first attempt."""
        self.balance = min(self.max_balance, self.balance + self.ratio)

    def allows(self) -> bool:
        """Whether a retry is left."""
        self._refill()
        return self.balance >= 1

    def withdraw(self) -> bool:
        """Take one retry; return False if none is left."""
        if not self.allows():
            return False
        self.balance -= 1
        self.unused_since = time.monotonic()
        return True

    def _refill(self) -> None:
        if time.monotonic() >= self.unused_since + self.window_s:
            stock = min(self.stock, self.max_balance)
            self.balance = max(self.balance, stock)
