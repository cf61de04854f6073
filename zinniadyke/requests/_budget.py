"""Budget of retries, so that retries cannot multiply a failure."""

RETRIES_PER_REQUEST = 0.1
INITIAL_RETRIES = 10.0
MAX_RETRIES = 100.0


class RetryBudget:
    """Allows retries in proportion to first attempts."""

    def __init__(self) -> None:
        """Start with a few retries."""
        self.balance = INITIAL_RETRIES

    def deposit(self) -> None:
        """Count a first attempt."""
        self.balance = min(MAX_RETRIES, self.balance + RETRIES_PER_REQUEST)

    def withdraw(self) -> bool:
        """Take one retry; False when none is left."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
