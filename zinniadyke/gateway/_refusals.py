"""Refusals of requests, with the time after which to try again."""

import random

from zinniadyke import errors

RETRY_AFTER_MIN_S = 0.2
RETRY_AFTER_MAX_S = 1.5
# Targets that load weights or recover take longer than a slot takes to become
# free. Callers follow Retry-After up to a third of their remaining deadline.
NO_TARGET_RETRY_S = 2.0
# Callers that return to targets that have reopened are spread over this time.
REOPEN_SPREAD_S = 0.5


def queue_full(
    expected_wait_s: float, token_wait_s: float | None
) -> errors.RequestError:
    """Return the refusal of a request that would wait too long.

    Load: more requests than slots, from callers that retry once; those that
    come back at the same moment are refused again.

    Parameters
    ----------
    expected_wait_s
        Estimated wait for a slot.
    token_wait_s
        Estimated wait for a token if the request waits for no slot, else
        None. Unlike slots, tokens come at a known time.
    """
    wait_s = min(max(expected_wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
    if token_wait_s is not None:
        wait_s = max(token_wait_s, RETRY_AFTER_MIN_S)
    return _refusal(errors.ResultCode.QUEUE_FULL, wait_s)


def no_target(
    code: errors.ResultCode, reopens_in_s: float | None
) -> errors.RequestError:
    """Return the refusal of a request that no target may run now.

    Parameters
    ----------
    code
        Why no target may.
    reopens_in_s
        Time until the first target that has asked this host to stay away
        takes requests again; None if there is none.
    """
    if reopens_in_s is None:
        return _refusal(code, NO_TARGET_RETRY_S)
    return errors.RequestError(
        code=code,
        retry_after_s=reopens_in_s + random.uniform(0.0, REOPEN_SPREAD_S),
    )


def _refusal(code: errors.ResultCode, wait_s: float) -> errors.RequestError:
    return errors.RequestError(
        code=code, retry_after_s=wait_s * random.uniform(0.7, 1.3)
    )
