"""Refuses requests that crash targets, learnt together with other entries."""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import time

import eventlet

from zinniadyke.gateway import _attempt
from zinniadyke.gateway import _call
from zinniadyke.gateway import _target_table
from zinniadyke import ids
from zinniadyke import listening
from zinniadyke import rendezvous
from zinniadyke import reports
from zinniadyke import requests

LOG = logging.getLogger(__name__)

# Attempts that one crash cuts off end within a few milliseconds.
GATHER_S = 0.01
# Refused and cleared suspects in one datagram, of each.
MAX_SUSPECTS = 12
# Agents that report the crashes of a target without an agent of its own.
REPORTERS = 2
# A crash is checked this long after it cut requests off.
CHECK_DELAY_S = 0.08
# Agents in each region that pass on what this entry learned.
RELAYS_PER_REGION = 2
# What was learned is sent this often, as datagrams may be lost.
NEWS_COPIES = 2
COPY_INTERVAL_S = 0.1
MS_PER_S = 1000.0


class CrashGuard:
    """Keeps requests and prompts that crash targets away from them.

    Parameters
    ----------
    region
        Region of this entry.
    regions
        Region of each availability zone.

    Attributes
    ----------
    send
        Sends a message to the agent on a host.
    running
        Attempts that have not ended.
    interrupted
        Requests that targets cut off before they began to answer, by the
        target's address and start.
    """

    def __init__(
        self,
        *,
        name: str,
        region: str,
        regions: dict[str, str],
        target_table: _target_table.TargetTable,
    ) -> None:
        """Start without crashes."""
        self.name = name
        self.region = region
        self.regions = regions
        self.target_table = target_table
        self.ledger = requests.CrashLedger()
        self.findings = requests.CrashFindings(
            ledger=self.ledger, tell=self._tell
        )
        self.send: Callable[[reports.Message, str], None] = (
            lambda message, host_ip: None
        )
        self.running: set[_attempt.Attempt] = set()
        self.interrupted: dict[tuple[str, int], reports.SuspectsByRequest] = {}
        self.incarnation = ids.new_incarnation()
        self.news_count = 0

    def begin(self, attempt: _attempt.Attempt) -> None:
        """Follow an attempt from its start on."""
        attempt.on_writing = self._record_writing
        self.running.add(attempt)

    def end(self, attempt: _attempt.Attempt) -> None:
        """Learn from the end of an attempt."""
        self.running.discard(attempt)
        call = attempt.call
        if attempt.writing or attempt.withdrawn:
            return
        if attempt.outcome is _call.Outcome.ANSWERED:
            self._record_writing(attempt)
        elif attempt.cut_off:
            target = attempt.state.target
            if not self.interrupted:
                eventlet.spawn_after(GATHER_S, self._report_interrupted)
            self.interrupted.setdefault((target.address, target.born_ms), {})[
                call.id
            ] = sorted(call.suspects)

    def handle_crash(self, report: reports.CrashReport, host_ip: str) -> None:
        """Record a crash that an agent reports.

        One that comes from an agent that saw it, not from one that passes it
        on, is passed on to other regions.
        """
        self.ledger.record_crash(
            report.crash,
            time.monotonic() - report.age_ms / MS_PER_S,
            {
                ids.RequestId(request): frozenset(suspects)
                for request, suspects in report.requests.items()
            },
        )
        if host_ip in self._reporters(report.address):
            for region, hosts in self._relays().items():
                if region != self.region:
                    for relay in hosts:
                        self.send(report, relay)

    def local_relays(self) -> list[str]:
        """Return the agents of this region that pass on messages."""
        return self._relays().get(self.region, [])

    def handle_news(self, news: reports.SuspectNews, host_ip: str) -> None:
        """Apply what another entry learned."""
        for suspect in news.cleared:
            self.ledger.clear(suspect, announce=False)
        for suspect, for_ms in news.refused.items():
            self.ledger.refuse(suspect, for_ms / MS_PER_S)
        self._withdraw(news.refused)

    def _record_writing(self, attempt: _attempt.Attempt) -> None:
        self.ledger.record_served(attempt.call.suspects)

    def _report_interrupted(self) -> None:
        interrupted, self.interrupted = self.interrupted, {}
        for (address, born_ms), requests_there in interrupted.items():
            reporters = self._reporters(address)
            if not born_ms:
                # Reports of two agents could not be told for the same crash.
                reporters = reporters[:1]
            for group in reports.split_requests(requests_there):
                message = reports.Interruption(
                    address=address, born_ms=born_ms, requests=group
                )
                for host_ip in reporters:
                    self.send(message, host_ip)
            if not reporters:
                eventlet.spawn_after(
                    CHECK_DELAY_S,
                    self._record_alone,
                    ids.CrashId(f"{address} {born_ms}"),
                    address,
                    time.monotonic(),
                    {
                        request: frozenset(suspects)
                        for request, suspects in requests_there.items()
                    },
                )

    def _record_alone(
        self,
        crash_id: ids.CrashId,
        address: str,
        at: float,
        requests_there: dict[ids.RequestId, frozenset[ids.Suspect]],
    ) -> None:
        """Record a crash in a fleet without agents."""
        if listening.refuses_connections(address):
            self.ledger.record_crash(crash_id, at, requests_there)

    def _reporters(self, address: str) -> list[str]:
        """Return the hosts of the agents that report a target's crashes.

        It is the target's own agent. For targets without one these are the
        first agents of all in an order that all entries know.
        """
        host_ip = address.rpartition(":")[0]
        agent_hosts = self.target_table.agent_hosts()
        if host_ip in agent_hosts:
            return [host_ip]
        return sorted(
            agent_hosts, key=lambda host: rendezvous.weight(address, host)
        )[:REPORTERS]

    def _tell(
        self, refused: set[ids.Suspect], cleared: set[ids.Suspect]
    ) -> None:
        """Withdraw what is refused, and tell other entries."""
        self._withdraw(refused)
        self.news_count += 1
        name = f"{self.incarnation} {self.news_count}"
        for copy in range(NEWS_COPIES):
            if copy:
                eventlet.sleep(COPY_INTERVAL_S)
            left_s = self.ledger.refused()
            still_refused = sorted(refused & left_s.keys())
            still_cleared = sorted(cleared - left_s.keys())
            for first in range(
                0, max(len(still_refused), len(still_cleared)), MAX_SUSPECTS
            ):
                news = reports.SuspectNews(
                    name=f"{name} {first}",
                    refused={
                        suspect: int(left_s[suspect] * MS_PER_S)
                        for suspect in still_refused[
                            first : first + MAX_SUSPECTS
                        ]
                    },
                    cleared=still_cleared[first : first + MAX_SUSPECTS],
                )
                for hosts in self._relays().values():
                    for host_ip in hosts:
                        self.send(news, host_ip)

    def _relays(self) -> dict[str, list[str]]:
        """Return the agents of each region that pass on messages."""
        hosts: dict[str, set[str]] = {}
        used = self.target_table.used_hosts()
        for state in self.target_table.states.values():
            if state.target.host_ip in used:
                region = self.regions.get(state.target.zone, "")
                hosts.setdefault(region, set()).add(state.target.host_ip)
        return {
            region: sorted(
                found, key=lambda h: rendezvous.weight(self.name, h)
            )[:RELAYS_PER_REGION]
            for region, found in hosts.items()
        }

    def _withdraw(self, suspects: Iterable[ids.Suspect]) -> None:
        """End the attempts that wait at targets with a refused suspect."""
        refused = set(suspects)
        for attempt in list(self.running):
            if refused & attempt.call.suspects and not attempt.writing:
                attempt.withdraw()
