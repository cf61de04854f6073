"""Budget of retries, so that retries cannot multiply a failure."""

RETRIES_PER_REQUEST = 0.1
INITIAL_RETRIES = 10.0
MAX_RETRIES = 100.0


class RetryBudget:
    """Allows retries in proportion to first attempts.

    Parameters
    ----------
    ratio
        Retries for each first attempt.
    most
        Retries that can be saved up.
    """

    def __init__(
        self,
        *,
        ratio: float = RETRIES_PER_REQUEST,
        max_balance: float = MAX_RETRIES,
    ) -> None:
        """Start with a few retries."""
        self.ratio = ratio
        self.max_balance = max_balance
        self.balance = min(INITIAL_RETRIES, max_balance)

    def set_max_balance(self, max_balance: float) -> None:
        """Change how many retries can be saved up."""
        self.max_balance = max_balance
        self.balance = min(self.balance, max_balance)

    def deposit(self) -> None:
        """Count a first attempt."""
        self.balance = min(self.max_balance, self.balance + self.ratio)

    def withdraw(self) -> bool:
        """Take one retry; False when none is left."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
