"""Keeps a copy of all objects of one kind in the platform's store."""

from collections.abc import Callable
import enum
import logging
import time

import eventlet

from zinniadyke import errors
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

# Usual wait of a watch. A silent connection goes unnoticed for longer.
WATCH_WAIT_S = 2.0
# Backoff after the first failed call; doubles with each further one.
RETRY_MIN_S = 0.1
# Longest backoff.
RETRY_MAX_S = 0.4
# Time without an answer after which the store counts as lost. After a watch
# that it cuts off, objects are listed sooner, and no registration lapses.
OUTAGE_AFTER_S = 1.0
# Targets whose registration lapsed during an outage of the store register
# again within about 2 s of its end.
LAPSE_GRACE_S = 2.0
# Objects removed within this time are remembered, as a store that is restored
# from a copy some seconds old lists them again.
REMOVED_MEMORY_S = 60.0
# Added to a watch that ends with the grace period, to end after it.
GRACE_MARGIN_S = 0.05
MS_PER_S = 1000


class StoreState(enum.Enum):
    """Whether the store answers a follower."""

    IN_SYNC = "in sync"
    # A call failed, but the store may only have cut it off.
    SUSPECT = "suspect"
    LOST = "lost"


def state_after_failure(state: StoreState, unanswered_s: float) -> StoreState:
    """Return the state after a failed call.

    Parameters
    ----------
    unanswered_s
        Time since the store should have answered, in seconds.
    """
    if state is StoreState.LOST or unanswered_s >= OUTAGE_AFTER_S:
        return StoreState.LOST
    return StoreState.SUSPECT


def ends_outage(state: StoreState, unanswered_s: float) -> bool:
    """Whether an answer in this state is the first after an outage."""
    return state is StoreState.LOST or (
        state is StoreState.SUSPECT and unanswered_s >= OUTAGE_AFTER_S
    )


def first_unanswered_at(
    *, began_at: float, due_at: float, failed_at: float, timed_out: bool
) -> float:
    """Return since when the store may not have answered a failed call.

    A watch may be cut off at any moment, also just after its wait. Only one
    that gets no answer at all may have been without a store all the while.

    Parameters
    ----------
    began_at, due_at, failed_at
        Monotonic times of the call's begin or of a later answer to another
        call, of the end of the wait that it asked for, and of its failure,
        in seconds.
    timed_out
        Whether it failed because nothing came, neither an answer nor the end
        of its connection.
    """
    return began_at if timed_out else min(due_at, failed_at)


class Follower:
    """Lists all objects of a kind, then watches for changes.

    Parameters
    ----------
    name
        The kind, as logged.
    list_all
        Returns a dictionary of all objects by name, and its revision.
    wait_for_changes
        Takes a revision and a time limit in seconds. Returns pairs of name
        and object, with None for a removed object, and the revision from
        which to continue.
    history_gone
        Exception that ``wait_for_changes`` raises when the store no longer
        holds the changes after a revision; the objects are listed again.
    on_update
        Called with all objects after each change.
    keep_lapsed
        Whether objects that disappear around an outage or a restoration of
        the store are kept for a grace period of ``LAPSE_GRACE_S`` seconds,
        and objects that a restored store lists again after their removal
        are left out until they change.
    answered_at
        Returns the monotonic time of the store's newest answer to any call
        of this process, in seconds.
    era
        Returns the era of the store, which rises when it is restored.
    batch_window_s
        Pause after each batch of changes, in seconds. The platform charges
        for each call, and one call returns all changes since the last.

    Attributes
    ----------
    watch_wait_s
        Longest wait of a watch, in seconds.
    state
        Whether the store answers.
    unanswered_since
        Monotonic time since which the store should have answered.
    """

    def __init__(
        self,
        *,
        name: str,
        list_all: Callable,
        wait_for_changes: Callable,
        history_gone: type[Exception],
        on_update: Callable[[dict], None],
        keep_lapsed: bool = False,
        batch_window_s: float = 0.0,
        answered_at: Callable[[], float] = lambda: float("-inf"),
        era: Callable[[], int] = lambda: 0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without objects; :meth:`run` reads them."""
        self.name = name
        self.list_all = list_all
        self.wait_for_changes = wait_for_changes
        self.history_gone = history_gone
        self.on_update = on_update
        self.keep_lapsed = keep_lapsed
        self.batch_window_s = batch_window_s
        self.answered_at = answered_at
        self.era = era
        self.clock = clock
        self.watch_wait_s = WATCH_WAIT_S
        self.objects: dict[str, object] = {}
        self.lapsed: dict[str, object] = {}
        # Monotonic time until which each lapsed object is kept.
        self.kept_until: dict[str, float] = {}
        # Monotonic time of the removal of each object.
        self.removed: dict[str, float] = {}
        # Objects that a restored store lists although they were removed.
        self.resurrected: dict[str, object] = {}
        self.listed_era: int | None = None
        # Opaque here; passed back to ``wait_for_changes``.
        self.revision: object | None = None
        self.last_answer_at = float("-inf")
        self.outage_ended_at = float("-inf")
        self.state = StoreState.IN_SYNC
        self.unanswered_since = float("-inf")
        # Monotonic time by which the store should answer the present call.
        self.answer_due_at = float("-inf")
        self.call_began_at = float("-inf")

    @property
    def in_outage(self) -> bool:
        """Whether the store is lost."""
        return self.state is StoreState.LOST

    @property
    def outage_just_ended(self) -> bool:
        """Whether the last answer was the first after an outage."""
        return self.outage_ended_at == self.last_answer_at > float("-inf")

    def run(self) -> None:
        """List and watch without end; retry failed calls with backoff."""
        pause_s = RETRY_MIN_S
        while True:
            try:
                if self.step() and not self.lapsed:
                    eventlet.sleep(self.batch_window_s)
                pause_s = RETRY_MIN_S
            except self.history_gone:
                LOG.info("history gone", extra={"kind": self.name})
                self.revision = None
            except errors.PlatformError as error:
                self._record_failure(error)
                eventlet.sleep(pause_s)
                pause_s = min(2 * pause_s, RETRY_MAX_S)
            except Exception:
                # What one object causes must not end the following of all.
                LOG.exception("update failed", extra={"kind": self.name})
                self.revision = None
                eventlet.sleep(RETRY_MAX_S)

    def relist(self) -> None:
        """List all objects now."""
        self.revision = None
        self.step()

    def try_relist(self) -> bool:
        """List all objects now; return whether the store answered."""
        try:
            self.relist()
        except errors.PlatformError as error:
            self._record_failure(error)
            return False
        return True

    def redeliver(self) -> None:
        """Call ``on_update`` again with the present objects."""
        self.on_update({**self.lapsed, **self.objects})

    def step(self) -> bool:
        """List the objects or wait for changes; return whether any came."""
        if self.revision is None:
            self._begin_call(0.0)
            objects, revision = self.list_all()
            self._record_answer()
            restored = self._record_era()
            changed = self._replace(objects, restored=restored)
        else:
            wait_s = self._wait_s()
            self._begin_call(wait_s)
            changes, revision = self.wait_for_changes(self.revision, wait_s)
            self._record_answer()
            changed = self._apply(changes)
            if not changes:
                # A store that has missed changes also answers without any,
                # at its newest revision. Continuing from there would skip
                # the missed changes.
                revision = self.revision
        self.revision = revision
        if self._drop_lapsed() or changed:
            self.redeliver()
        return changed

    def _wait_s(self) -> float:
        if not self.lapsed:
            return self.watch_wait_s
        left_s = min(self.kept_until.values()) - self.clock()
        return min(max(left_s, 0.0) + GRACE_MARGIN_S, self.watch_wait_s)

    def _record_era(self) -> bool:
        """Return whether the store was restored since the last list."""
        before, self.listed_era = self.listed_era, self.era()
        restored = before is not None and before != self.listed_era
        if restored:
            self.outage_ended_at = self.last_answer_at
            LOG.info(
                "listed again after the store was restored",
                extra={"kind": self.name, "era": self.listed_era},
            )
        return restored

    def _replace(self, objects: dict, *, restored: bool) -> bool:
        for name, obj in self.objects.items():
            if name not in objects:
                self._remove(name, obj)
        present = dict(objects)
        for name in objects.keys() & (
            self.removed.keys() if restored else self.resurrected.keys()
        ):
            if restored or objects[name] == self.resurrected[name]:
                self.resurrected[name] = present.pop(name)
                LOG.info(
                    "removed object ignored until it changes",
                    extra={"kind": self.name, "object": name},
                )
        self.resurrected = {
            name: obj
            for name, obj in self.resurrected.items()
            if name in objects and name not in present
        }
        self.objects = present
        for name in present:
            self._forget_absence(name)
        return True

    def _apply(self, changes: list) -> bool:
        for name, obj in changes:
            self.resurrected.pop(name, None)
            if obj is not None:
                self.objects[name] = obj
                self._forget_absence(name)
            elif name in self.objects:
                self._remove(name, self.objects.pop(name))
        return bool(changes)

    def _forget_absence(self, name: str) -> None:
        """Record that an object is present."""
        self.lapsed.pop(name, None)
        self.kept_until.pop(name, None)
        self.removed.pop(name, None)

    def _remove(self, name: str, obj: object) -> None:
        if not self.keep_lapsed:
            return
        now = self.clock()
        self.removed = {
            n: at
            for n, at in self.removed.items()
            if now - at < REMOVED_MEMORY_S
        }
        if self._in_grace_period():
            self._keep_lapsed(name, obj)
        else:
            self.removed[name] = now

    def _keep_lapsed(self, name: str, obj: object) -> None:
        """Keep an object that disappeared around an outage for a while."""
        self.lapsed[name] = obj
        self.kept_until[name] = self.outage_ended_at + LAPSE_GRACE_S
        telemetry.count(telemetry.Metric.LAPSED_KEPT, label=self.name)
        LOG.info(
            "object kept after an outage",
            extra={
                "kind": self.name,
                "object": name,
                "outage_ended_ms_ago": int(
                    (self.clock() - self.outage_ended_at) * MS_PER_S
                ),
            },
        )

    def _drop_lapsed(self) -> bool:
        now = self.clock()
        gone = [name for name, at in self.kept_until.items() if at <= now]
        if not gone:
            return False
        LOG.info(
            "objects gone after an outage",
            extra={"kind": self.name, "objects": sorted(gone)},
        )
        for name in gone:
            del self.lapsed[name], self.kept_until[name]
            self.removed[name] = now
        return True

    def _end_outage(self, unanswered_s: float) -> None:
        """Begin the grace period of objects that lapsed in an outage.

        Those that were kept before it are kept for what was left of their
        time, in which they can register again.
        """
        self.outage_ended_at = self.last_answer_at
        for name in self.kept_until:
            self.kept_until[name] += unanswered_s

    def _in_grace_period(self) -> bool:
        return self.clock() - self.outage_ended_at < LAPSE_GRACE_S

    def _begin_call(self, wait_s: float) -> None:
        self.call_began_at = self.clock()
        self.answer_due_at = self.call_began_at + wait_s

    def _record_answer(self) -> None:
        self.last_answer_at = self.clock()
        unanswered_s = self.last_answer_at - self.unanswered_since
        if ends_outage(self.state, unanswered_s):
            self._end_outage(unanswered_s)
            telemetry.count(telemetry.Metric.STORE_OUTAGES, label=self.name)
            LOG.info(
                "store regained",
                extra={
                    "kind": self.name,
                    "unanswered_ms": int(unanswered_s * MS_PER_S),
                },
            )
        self.state = StoreState.IN_SYNC

    def _record_failure(self, error: errors.PlatformError) -> None:
        # Continue with a list, not a watch: the store answers a list sooner,
        # and a watch may also be cut short.
        self.revision = None
        now = self.clock()
        if self.state is StoreState.IN_SYNC:
            self.unanswered_since = first_unanswered_at(
                began_at=max(self.call_began_at, self.answered_at()),
                due_at=self.answer_due_at,
                failed_at=now,
                timed_out=isinstance(error, errors.PlatformTimeoutError),
            )
        before = self.state
        unanswered_s = now - self.unanswered_since
        self.state = state_after_failure(before, unanswered_s)
        if self.in_outage and before is not StoreState.LOST:
            LOG.warning(
                "store lost",
                extra={
                    "kind": self.name,
                    "unanswered_ms": int(unanswered_s * MS_PER_S),
                    "reason": error.message,
                },
            )
        elif before is StoreState.IN_SYNC:
            LOG.info(
                "call to the store failed",
                extra={"kind": self.name, "reason": error.message},
            )
