"""Borrows tokens for targets that limit the requests of all entries."""

from collections.abc import Callable
import time

from zinniadyke import directory
from zinniadyke.gateway import _target_state
from zinniadyke.gateway import _target_table
from zinniadyke import ids
from zinniadyke import rendezvous
from zinniadyke import reports
from zinniadyke import requests
from zinniadyke import uptime

MS_PER_S = 1000.0
# Longest wait of a request for a token of the cold target that it would go to;
# other targets can take it. An agent answers within a few milliseconds.
COLD_WAIT_S = 0.025
# Such a request does not wait at the agent: a token lent after the request has
# gone elsewhere expires unused. With 15 ms, 8% of the limit were used by 630
# entries (benchmarks/target_limits.py --cold).
COLD_AGENT_WAIT_MS = 0
AGENT_WAIT_MS = 200


class TokenBorrower:
    """Asks agents for tokens when a request waits for one.

    Parameters
    ----------
    count_entries
        Returns how many entries there are.
    on_answer
        Called after an agent's answer with the service of the target.

    Attributes
    ----------
    send
        Sends a message to the agent on a host.
    """

    def __init__(
        self,
        *,
        target_table: _target_table.TargetTable,
        count_entries: Callable[[], int],
        on_answer: Callable[[ids.ServiceName], None],
    ) -> None:
        """Start without tokens."""
        self.target_table = target_table
        self.count_entries = count_entries
        self.on_answer = on_answer
        self.send: Callable[[reports.Message, str], None] = (
            lambda message, host_ip: None
        )
        self.answered = directory.Signal()

    def await_token(self, state: _target_state.TargetState) -> None:
        """Ask for a token of a cold target and wait a moment for it.

        Load: a cold target without requests, which all entries prefer. Its
        tokens expire before an entry with few requests gets the next one, so
        the request that asks should use the token.
        """
        tokens = state.tokens
        self.request_token(state, wait_ms=COLD_AGENT_WAIT_MS)
        deadline = tokens.asked_at + COLD_WAIT_S
        while tokens.awaits_answer and not (tokens.count or tokens.share):
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                return
            self.answered.wait(remaining_s)

    def request_token(
        self,
        state: _target_state.TargetState,
        *,
        wait_ms: int = AGENT_WAIT_MS,
    ) -> None:
        """Ask for a token, unless one is on its way.

        Parameters
        ----------
        wait_ms
            Time for which the request waits at the agent.
        """
        tokens = state.tokens
        if time.monotonic() < tokens.ask_again_at:
            return
        tokens.record_asked()
        lender = self._lender(state)
        if lender is not None:
            self.send(
                reports.TokenRequest(
                    address=state.target.address,
                    born_ms=state.target.born_ms,
                    limit_per_s=tokens.limit_per_s,
                    lifetime_ms=int(tokens.lifetime_s * MS_PER_S),
                    wait_ms=wait_ms,
                    asked_ms=_asked_ms(tokens.cold),
                ),
                lender,
            )
        if lender is None or tokens.has_no_agent:
            tokens.use_share(self._sharers(state))

    def handle_answer(self, answer: reports.TokenAnswer, host_ip: str) -> None:
        """Take the token that an agent lends, or learn when it will."""
        for state in self.target_table.by_address.get(answer.address, ()):
            if state.tokens is not None and (
                state.target.born_ms == answer.born_ms
            ):
                state.tokens.record_answer(
                    answer.granted,
                    answer.next_in_ms / MS_PER_S,
                    lifetime_s=answer.lifetime_ms / MS_PER_S,
                    lent_ms=answer.lent_ms,
                )
                self.answered.send()
                self.on_answer(state.target.service)

    def _lender(self, state: _target_state.TargetState) -> str | None:
        """Return the host of the agent that lends a target's tokens.

        It is the target's own agent. For targets without one it is the first
        agent of all in an order that all entries know; None without agents.
        """
        if self.target_table.has_engine(state.target.service):
            return state.target.host_ip
        return min(
            self.target_table.agent_hosts(),
            key=lambda host_ip: rendezvous.weight(
                state.target.address, host_ip
            ),
            default=None,
        )

    def _sharers(self, state: _target_state.TargetState) -> int:
        """Return how many entries send requests to a target."""
        if state.agent_reported_at is None:
            return self.count_entries()
        return state.entries


def _asked_ms(cold: requests.ColdLimit | None) -> int:
    """Return the uptime in ms for a request for a cold target's token.

    Other tokens live long enough to count from their arrival.
    """
    return 0 if cold is None else int(uptime.now_s() * MS_PER_S)
