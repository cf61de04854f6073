"""How long requests wait for a slot, and how long they may."""

import collections
from collections.abc import Iterable
import math
import time

from zinniadyke.gateway import _call
from zinniadyke.gateway import _target_state

# Initial estimate of the time from sending to the first event.
INITIAL_FIRST_EVENT_S = 0.2
# Weight of the previous mean in the exponential moving average.
FIRST_EVENT_EMA_RETENTION = 0.9
# Initial estimate of the time that a complete response takes.
INITIAL_RESPONSE_S = 1.0
# Weight of the previous mean in the exponential moving average.
RESPONSE_EMA_RETENTION = 0.95
# Factor on the mean time to the first event, as many take longer.
FIRST_EVENT_MARGIN = 1.3
# Window over which the completion rate is measured.
COMPLETION_WINDOW_S = 2.0


class Waits:
    """Times measured at one service, from which waits are estimated.

    Load: more requests than slots; one that would miss its objective must
    be refused at once, while its caller can still go elsewhere.

    Attributes
    ----------
    mean_first_event_s, mean_response_s
        Mean time to the first event, and of a complete response.
    completion_times
        Monotonic times at which attempts ended, in the last window.
    """

    def __init__(self) -> None:
        """Start with initial estimates."""
        self.mean_first_event_s = INITIAL_FIRST_EVENT_S
        self.mean_response_s = INITIAL_RESPONSE_S
        self.completion_times: collections.deque[float] = collections.deque()

    def record_first_event_time(self, took_s: float) -> None:
        """Update the mean time to the first event, in seconds."""
        retained_s = FIRST_EVENT_EMA_RETENTION * self.mean_first_event_s
        self.mean_first_event_s = (
            retained_s + (1 - FIRST_EVENT_EMA_RETENTION) * took_s
        )

    def record_response_time(self, took_s: float) -> None:
        """Update the mean time of complete responses, in seconds."""
        retained_s = RESPONSE_EMA_RETENTION * self.mean_response_s
        self.mean_response_s = (
            retained_s + (1 - RESPONSE_EMA_RETENTION) * took_s
        )

    def record_completion(self) -> None:
        """Record that an attempt has ended."""
        self.completion_times.append(time.monotonic())

    def completions_per_s(self) -> float:
        """Return the rate of completions; at least one in the window."""
        now = time.monotonic()
        while self.completion_times and (
            self.completion_times[0] < now - COMPLETION_WINDOW_S
        ):
            self.completion_times.popleft()
        return max(len(self.completion_times), 1) / COMPLETION_WINDOW_S

    def slot_wait_s(
        self,
        ahead: float,
        *,
        part: float = 1.0,
        more_urgent_per_s: float = 0.0,
        least_part: float = 0.0,
    ) -> float:
        """Return the estimated wait behind some requests, in seconds.

        Load: less urgent requests that wait in vain, because more urgent
        ones keep arriving and take the slots that become free.

        Parameters
        ----------
        part
            Part of the service's slots that the request may use.
        more_urgent_per_s
            Arrivals of more urgent requests.
        least_part
            Part of the completions that they leave at least.
        """
        return (ahead + 1) / self._left_per_s(
            part, more_urgent_per_s, least_part
        )

    def slot_chance(
        self,
        ahead: float,
        within_s: float,
        *,
        part: float = 1.0,
        more_urgent_per_s: float = 0.0,
        least_part: float = 0.0,
    ) -> float:
        """Return the probability of a slot within a time, in seconds.

        Load: entries at which slots become free less often than once in the
        time that the objective leaves. The mean wait says no there, although
        every second request or so would be in time. Slots that become free
        count as a Poisson process.
        """
        left_per_s = self._left_per_s(part, more_urgent_per_s, least_part)
        mean = left_per_s * max(within_s, 0.0)
        needed = math.ceil(ahead) + 1
        if needed > mean + 6 * math.sqrt(mean) + 6:
            return 0.0
        term = total = math.exp(-mean)
        for count in range(1, needed):
            term *= mean / count
            total += term
        return 1.0 - total

    def _left_per_s(
        self, part: float, more_urgent_per_s: float, least_part: float
    ) -> float:
        per_s = part * self.completions_per_s()
        left_per_s = max(per_s - more_urgent_per_s, least_part * per_s)
        # At most one request in a window is left if nothing else is known.
        return max(left_per_s, part / COMPLETION_WINDOW_S)

    def max_late_wait_s(self, call: _call.Call) -> float:
        """Return the longest wait that leaves time for a late answer."""
        return call.remaining_s - self.mean_response_s

    def max_wait_s(
        self, call: _call.Call, max_margin_part: float = math.inf
    ) -> float:
        """Return the longest wait that still meets the objective.

        Parameters
        ----------
        max_margin_part
            Part of the objective that the time to the first event counts as
            at most.
        """
        margin_s = min(
            self.mean_first_event_s * FIRST_EVENT_MARGIN,
            call.route.objective_s * max_margin_part,
        )
        until_objective_s = call.objective_at - time.monotonic() - margin_s
        return min(until_objective_s, call.remaining_s)


def token_wait_s(
    limited: Iterable[_target_state.TargetState], ahead: int
) -> float:
    """Return the estimated wait for a token; infinite without limits.

    It is the time until the next one, and for each waiting request at
    least as urgent one more at the limits.

    Parameters
    ----------
    limited
        Targets that limit requests and have a free slot.
    """
    limited = list(limited)
    if not limited:
        return float("inf")
    rate_per_s = sum(s.tokens.limit_per_s for s in limited)
    return min(s.tokens.next_in_s for s in limited) + ahead / rate_per_s
