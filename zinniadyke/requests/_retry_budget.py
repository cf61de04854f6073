"""A retry budget keeps retries from amplifying a failure."""

RETRIES_PER_REQUEST = 0.1
INITIAL_RETRIES = 10.0
MAX_RETRIES = 100.0


class RetryBudget:
    """Token bucket that allows retries in proportion to first attempts.

    Parameters
    ----------
    ratio
        Retries added for each first attempt.
    most
        Largest number of unused retries that the budget keeps.
    """

    def __init__(
        self,
        *,
        ratio: float = RETRIES_PER_REQUEST,
        max_balance: float = MAX_RETRIES,
    ) -> None:
        """Start with the initial balance, capped at ``max_balance``."""
        self.ratio = ratio
        self.max_balance = max_balance
        self.balance = min(INITIAL_RETRIES, max_balance)

    def set_max_balance(self, max_balance: float) -> None:
        """Set the largest balance and reduce the current one to it."""
        self.max_balance = max_balance
        self.balance = min(self.balance, max_balance)

    def deposit(self) -> None:
        """Add ``ratio`` retries for a first attempt."""
        self.balance = min(self.max_balance, self.balance + self.ratio)

    def withdraw(self) -> bool:
        """Take one retry; return False if none is left."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
