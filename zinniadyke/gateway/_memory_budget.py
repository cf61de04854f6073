"""Accounts for the memory that a process holds for callers and targets.

Load: callers and targets that read slowly or not at all, and many large
bodies at once. A process that exceeds its memory is killed with all of its
requests, so that what does not fit is refused before it is read.
"""

BYTES_PER_MB = 1_000_000
# Part of the process's memory for data of callers and targets. The rest is
# for the interpreter, the directory and transient copies: a body is held
# twice while its parts are joined.
DATA_SHARE = 0.25
# Complete answers from targets that a process holds at once.
MAX_ANSWER_BYTES = 32 << 20


class MemoryBudget:
    """Counts the bytes that are held, within a limit.

    Parameters
    ----------
    limit_bytes
        Limit in bytes; infinite for none.
    within
        Budget that this one is a part of; bytes count in both.

    Attributes
    ----------
    held
        Number of bytes.
    """

    def __init__(
        self, *, limit_bytes: float, within: "MemoryBudget | None" = None
    ) -> None:
        """Start with nothing held."""
        self.limit_bytes = limit_bytes
        self.within = within
        self.held = 0

    def fits(self, size: int) -> bool:
        """Whether more bytes would not exceed a limit."""
        if size > 0 and self.held + size > self.limit_bytes:
            return False
        return self.within is None or self.within.fits(size)

    def take(self, size: int) -> bool:
        """Count bytes; return False if that exceeds a limit."""
        if not self.fits(size):
            return False
        self.hold(size)
        return True

    def hold(self, size: int) -> None:
        """Count bytes that are held in any case, also beyond the limit."""
        self.held += size
        if self.within is not None:
            self.within.hold(size)

    def give_back(self, size: int) -> None:
        """Stop counting bytes."""
        self.hold(-size)


class ProcessMemory:
    """Budgets of one process.

    Attributes
    ----------
    total
        Everything that is held for callers and targets.
    answers
        Complete answers of targets, before they are relayed.
    """

    def __init__(self, *, memory_mb: float = 0.0) -> None:
        """Set the limits.

        Parameters
        ----------
        memory_mb
            Memory that the process may use, in MB; 0 means no bound for
            the total.
        """
        limit_bytes = memory_mb * BYTES_PER_MB * DATA_SHARE or float("inf")
        self.total = MemoryBudget(limit_bytes=limit_bytes)
        self.answers = MemoryBudget(
            limit_bytes=MAX_ANSWER_BYTES, within=self.total
        )

    def open_connection(self) -> MemoryBudget:
        """Return the account of a new caller's connection."""
        return MemoryBudget(limit_bytes=float("inf"), within=self.total)
