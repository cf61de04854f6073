"""Admission control of the requests to one engine."""

import collections
from collections.abc import Callable
import time

import eventlet
from eventlet import event
import msgspec

from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import peers

ENDED_RETENTION_S = 600.0
MAX_ENDED_ATTEMPTS = 200_000
DRAIN_POLL_S = 0.01


class AttemptKey(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies one attempt of one request."""

    request_id: ids.RequestId
    attempt: int


class EndedAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Record of an attempt that can no longer start.

    Attributes
    ----------
    started
        Whether the attempt ran. If False, it was closed before it started.
    ended_at
        Monotonic time in seconds.
    """

    started: bool
    ended_at: float


class AdmissionGate:
    """Admits attempts while a version is being served.

    The gate records attempts that ended or were closed, so that an attempt
    starts at most once and never starts after it was closed.
    """

    def __init__(self) -> None:
        """Create a closed gate."""
        self.changed = event.Event()
        self.state = peers.GateState.CLOSED
        self.version = ""
        self.slots = 0
        self.leaving = False
        self.shutting_down = False
        self.running: dict[AttemptKey, eventlet.greenthread.GreenThread] = {}
        self.ended: collections.OrderedDict[AttemptKey, EndedAttempt] = (
            collections.OrderedDict()
        )

    @property
    def refusing(self) -> bool:
        """Whether the gate refuses new work while a version is served."""
        return self.leaving or self.shutting_down

    def open(self, version: str) -> None:
        """Start to admit attempts for ``version``."""
        self.version = version
        self.state = peers.GateState.SERVING
        self.notify_change()

    def close(self) -> None:
        """Stop admitting attempts."""
        self.state = peers.GateState.CLOSED
        self.version = ""
        self.notify_change()

    @property
    def reported_state(self) -> peers.GateState:
        """State for peers: DRAINING if SERVING but refusing new work."""
        if self.refusing and self.state is peers.GateState.SERVING:
            return peers.GateState.DRAINING
        return self.state

    def notify_change(self) -> None:
        """Wake all callers of ``wait_for_change``."""
        changed, self.changed = self.changed, event.Event()
        changed.send()

    def wait_for_change(
        self,
        reported_state: peers.GateState,
        version: str,
        timeout_s: float,
        has_news: Callable[[], bool] = lambda: False,
    ) -> None:
        """Wait until the reported state or the version differs.

        Parameters
        ----------
        reported_state, version
            The values that the caller knows.
        timeout_s
            Longest wait, in seconds.
        has_news
            Returns whether there is something else that ends the wait.
        """
        with eventlet.Timeout(timeout_s, False):
            while (self.reported_state, self.version) == (
                reported_state,
                version,
            ) and not has_news():
                self.changed.wait()

    def set_refusing(
        self, *, leaving: bool = False, shutting_down: bool = False
    ) -> None:
        """Set whether the gate refuses new work while a version is served.

        ``shutting_down`` cannot be reset.
        """
        before = self.refusing
        self.leaving = leaving
        self.shutting_down = self.shutting_down or shutting_down
        if self.refusing != before:
            self.notify_change()

    def admit(self, key: AttemptKey, version: str) -> None:
        """Admit an attempt that runs in the current green thread.

        Raises
        ------
        RequestError
            The attempt is refused; its code says why.
        """
        if self.has_started(key):
            raise errors.RequestError(code=errors.ResultCode.ALREADY_STARTED)
        if key in self.ended:
            raise errors.RequestError(code=errors.ResultCode.ATTEMPT_CLOSED)
        if self.refusing or self.state is not peers.GateState.SERVING:
            raise errors.RequestError(code=errors.ResultCode.DRAINING)
        if version != self.version:
            raise errors.RequestError(code=errors.ResultCode.VERSION_CHANGED)
        if self.slots and len(self.running) >= self.slots:
            raise errors.RequestError(code=errors.ResultCode.TARGET_BUSY)
        self.running[key] = eventlet.getcurrent()

    def finish(self, key: AttemptKey) -> None:
        """Record that an admitted attempt has ended."""
        self.running.pop(key, None)
        self._record_ended(key, started=True)

    def has_started(self, key: AttemptKey) -> bool:
        """Return whether an attempt is running or has run."""
        if key in self.running:
            return True
        return key in self.ended and self.ended[key].started

    def close_attempt(self, key: AttemptKey) -> bool:
        """Prevent an attempt from starting; True if it has started."""
        if self.has_started(key):
            return True
        self._record_ended(key, started=False)
        return False

    def drain(self, timeout_s: float) -> bool:
        """Stop admitting and wait; False if attempts are still running."""
        if self.state is peers.GateState.SERVING:
            self.state = peers.GateState.DRAINING
            self.notify_change()
        deadline = time.monotonic() + timeout_s
        while self.running and time.monotonic() < deadline:
            eventlet.sleep(DRAIN_POLL_S)
        return not self.running

    def _record_ended(self, key: AttemptKey, *, started: bool) -> None:
        now = time.monotonic()
        self.ended[key] = EndedAttempt(started=started, ended_at=now)
        while self.ended:
            oldest = next(iter(self.ended.values())).ended_at
            if (
                len(self.ended) <= MAX_ENDED_ATTEMPTS
                and now - oldest < ENDED_RETENTION_S
            ):
                return
            self.ended.popitem(last=False)
