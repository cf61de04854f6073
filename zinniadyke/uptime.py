"""A steady clock that also counts the time in which a host is suspended."""

import time


def now_s() -> float:
    """Return the seconds since the host was started.

    ``time.monotonic`` stands still while a host is suspended, so a permission
    that ran out meanwhile would look valid afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
