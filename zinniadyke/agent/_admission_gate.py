"""The gate that every request to the engine passes."""

import collections
import time

import eventlet
from eventlet import event
import msgspec

from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import peers

CLOSED_KEEP_S = 600.0
CLOSED_MAX = 200_000
DRAIN_POLL_S = 0.01


class AttemptKey(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of one request."""

    request_id: ids.RequestId
    attempt: int


class Ended(msgspec.Struct, frozen=True, kw_only=True):
    """What is remembered of an attempt that can no longer start.

    Attributes
    ----------
    started
        Whether it ran; if not, it was closed before.
    at
        Monotonic time in seconds.
    """

    started: bool
    at: float


class AdmissionGate:
    """Admits attempts while a version serves, and remembers closed ones.

    An attempt is started at most once. An attempt that was closed before
    it started never starts.
    """

    def __init__(self) -> None:
        """Start closed."""
        self.changed = event.Event()
        self.state = peers.GateState.CLOSED
        self.version = ""
        self.slots = 0
        self.leaving = False
        self.shutting_down = False
        self.running: dict[AttemptKey, eventlet.greenthread.GreenThread] = {}
        self.ended: collections.OrderedDict[AttemptKey, Ended] = (
            collections.OrderedDict()
        )

    @property
    def refusing(self) -> bool:
        """Whether new work is refused although a version serves."""
        return self.leaving or self.shutting_down

    def open(self, version: str) -> None:
        """Admit requests for ``version``."""
        self.version = version
        self.state = peers.GateState.SERVING
        self.note_change()

    def close(self) -> None:
        """Admit nothing."""
        self.state = peers.GateState.CLOSED
        self.version = ""
        self.note_change()

    @property
    def shown(self) -> peers.GateState:
        """The state that others are told."""
        if self.refusing and self.state is peers.GateState.SERVING:
            return peers.GateState.DRAINING
        return self.state

    def note_change(self) -> None:
        """Wake those who wait for a change."""
        changed, self.changed = self.changed, event.Event()
        changed.send()

    def wait_change(
        self, shown: peers.GateState, version: str, timeout_s: float
    ) -> None:
        """Wait until state or version differ, for ``timeout_s`` at most."""
        with eventlet.Timeout(timeout_s, False):
            while (self.shown, self.version) == (shown, version):
                self.changed.wait()

    def refuse(
        self, *, leaving: bool = False, shutting_down: bool = False
    ) -> None:
        """Set whether new work is refused although a version serves."""
        before = self.refusing
        self.leaving = leaving
        self.shutting_down = self.shutting_down or shutting_down
        if self.refusing != before:
            self.note_change()

    def admit(self, key: AttemptKey, version: str) -> None:
        """Let an attempt in, or say why it does not run.

        Raises
        ------
        RequestError
            The attempt is not run.
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
        """Note that an attempt has ended."""
        self.running.pop(key, None)
        self._remember(key, started=True)

    def has_started(self, key: AttemptKey) -> bool:
        """Return whether an attempt runs or has run."""
        if key in self.running:
            return True
        return key in self.ended and self.ended[key].started

    def close_attempt(self, key: AttemptKey) -> bool:
        """Make sure that an attempt never starts; True if it has."""
        if self.has_started(key):
            return True
        self._remember(key, started=False)
        return False

    def drain(self, timeout_s: float) -> bool:
        """Stop admitting and wait; False if work is left in progress."""
        if self.state is peers.GateState.SERVING:
            self.state = peers.GateState.DRAINING
            self.note_change()
        deadline = time.monotonic() + timeout_s
        while self.running and time.monotonic() < deadline:
            eventlet.sleep(DRAIN_POLL_S)
        return not self.running

    def _remember(self, key: AttemptKey, *, started: bool) -> None:
        now = time.monotonic()
        self.ended[key] = Ended(started=started, at=now)
        while self.ended:
            oldest = next(iter(self.ended.values())).at
            if len(self.ended) <= CLOSED_MAX and now - oldest < CLOSED_KEEP_S:
                return
            self.ended.popitem(last=False)
