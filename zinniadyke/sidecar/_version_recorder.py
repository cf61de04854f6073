"""Records in the store when a version was named."""

from collections.abc import Callable, Iterable
import logging
import time

import msgspec

from zinniadyke import directory
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import rendezvous
from zinniadyke import uptime

LOG = logging.getLogger(__name__)

# Agents that may record a version.
RECORDERS = 3
# Time after which the next agent finds the time still missing and records it.
TAKEOVER_DELAY_S = 0.5
IDLE_WAIT_S = 10.0
MS_PER_S = 1000.0


class _Observation(msgspec.Struct, frozen=True, kw_only=True):
    version: ids.WeightsVersion
    named_unix_ms: int
    observed_at: float


def recording_delay_s(
    hosts: Iterable[str],
    my_ip: str,
    model: ids.ModelName,
    version: ids.WeightsVersion,
) -> float | None:
    """Return after what time a host records a version; None if never.

    Load: every agent of a fleet learns a version at the same time, and the
    store charges for each call. Usually one agent writes, and three at most
    look whether they have to.
    """
    order = sorted(
        set(hosts), key=lambda h: rendezvous.weight(model, str(version), h)
    )
    if my_ip not in order[:RECORDERS]:
        return None
    return order.index(my_ip) * TAKEOVER_DELAY_S


class VersionRecorder:
    """Records each version that this agent observes, if it is its turn.

    Parameters
    ----------
    my_ip
        Address of this agent's host.
    find_hosts
        Returns the addresses of the hosts of all known agents of a model.
    record
        Records a model, a version and the Unix time in milliseconds at which
        it was named; returns whether it wrote. Raises ``PlatformError`` or
        ``ConflictError``.

    Attributes
    ----------
    pending
        The newest version of each model that may still have to be recorded.
    """

    def __init__(
        self,
        *,
        my_ip: str,
        find_hosts: Callable[[ids.ModelName], Iterable[str]],
        record: Callable[[ids.ModelName, ids.WeightsVersion, int], bool],
    ) -> None:
        """Start without versions."""
        self.my_ip = my_ip
        self.find_hosts = find_hosts
        self.record = record
        self.pending: dict[ids.ModelName, _Observation] = {}
        self.changed = directory.Signal()

    def handle_observed(
        self,
        model: ids.ModelName,
        version: ids.WeightsVersion,
        since: float,
    ) -> None:
        """Plan the recording of a version named at ``since`` (uptime)."""
        now = uptime.now_s()
        self.pending[model] = _Observation(
            version=version,
            named_unix_ms=int((time.time() - (now - since)) * MS_PER_S),
            observed_at=now,
        )
        self.changed.send()

    def run(self) -> None:
        """Record versions when they are due, forever."""
        while True:
            self.changed.wait(self.step())

    def step(self) -> float:
        """Record what is due; return the time to the next one, in seconds."""
        wait_s = IDLE_WAIT_S
        planned = dict(self.pending)
        for model, observed in planned.items():
            try:
                delay_s = recording_delay_s(
                    self.find_hosts(model),
                    self.my_ip,
                    model,
                    observed.version,
                )
                if delay_s is not None:
                    due = observed.observed_at + delay_s
                    remaining_s = due - uptime.now_s()
                    if remaining_s > 0:
                        wait_s = min(wait_s, remaining_s)
                        continue
                    self._record(model, observed)
            except Exception as error:
                # Repeats would load a store that fails; other agents try too.
                LOG.warning(
                    "time of naming not recorded",
                    extra={
                        "model": model,
                        "version": observed.version,
                        "reason": str(error),
                    },
                    exc_info=not isinstance(error, errors.ZinniadykeError),
                )
            # A newer version may have been observed during the call.
            if self.pending.get(model) is observed:
                del self.pending[model]
        if any(planned.get(m) is not o for m, o in self.pending.items()):
            return 0.0
        return wait_s

    def _record(self, model: ids.ModelName, observed: _Observation) -> None:
        if self.record(model, observed.version, observed.named_unix_ms):
            LOG.info(
                "time of naming recorded",
                extra={
                    "model": model,
                    "version": observed.version,
                    "named_unix_ms": observed.named_unix_ms,
                },
            )
