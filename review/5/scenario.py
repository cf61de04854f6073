"""A server leaves while the store cuts off the watches that wait."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins

# The service is quiet: groups of requests come at this interval, half of each
# group at each gateway.
GROUP_INTERVAL_S = 3.0
GROUP_SIZE = 12
# Groups before the server leaves; they take longer than stable_window_ms.
CALM_GROUPS = 3
# At two moments the store cuts off the watches that wait: the first time this
# long after the last of these groups, the second time so much later.
FIRST_CUT_AFTER_S = 0.4
SECOND_CUT_LATER_S = 1.4
# Length of such a moment.
CUT_S = 0.1
# The server leaves this long after the first moment.
LEAVES_AFTER_S = 0.2
# It goes on for drain_ms and "a little longer", until this long after the
# beginning of the next group.
ENDS_AFTER_S = 0.05
WORK_S = 0.09
# Longest time until a watch that waits is cut off.
POLL_S = 0.02


class CuttingStore(standins.Store):
    """A store that cuts off the watches that wait while ``cuts`` is set."""

    cuts = False
    cut_off = 0

    def __init__(self, address: str) -> None:
        """Start without objects."""
        super().__init__(address)
        self.entries: dict[str, dict] = {}

    def put(self, kind: str, name: str, spec: dict) -> None:
        """Write an object; an entry changes when more than `seq` changes."""
        fields = {k: v for k, v in spec.items() if k != "seq"}
        if kind != "servers" or self.entries.get(name) != fields:
            super().put(kind, name, spec)
        if kind == "servers":
            self.entries[name] = fields

    async def _watch(self, kind: str, since: int, wait_s: float):
        deadline = time.monotonic() + wait_s
        while True:
            left_s = max(deadline - time.monotonic(), 0.0)
            answer = await super()._watch(kind, since, min(left_s, POLL_S))
            if '"events":[]' not in answer[1]:
                return answer
            if self.cuts:
                # The connection ends without an answer.
                self.cut_off += 1
                raise ConnectionResetError
            if time.monotonic() >= deadline:
                return answer


class LeavingServer(standins.Server):
    """A server that may leave and notes when requests reach it.

    Attributes
    ----------
    leaving
        Whether it says in its answers that it leaves.
    reached
        Moment at which each request reached it, by id.
    """

    def __init__(self, address: str, **options) -> None:
        """Start without requests."""
        super().__init__(address, **options)
        self.leaving = False
        self.reached: dict[str, float] = {}
        self.work_s = WORK_S

    def head(self, request) -> dict[str, str]:
        """Return the headers of all answers to a request."""
        head = super().head(request)
        return head | {"Server-Leaving": "1"} if self.leaving else head

    async def answer(self, request, reader, writer) -> None:
        """Note when a request arrives, and answer it."""
        self.reached[request.id] = time.monotonic()
        await super().answer(request, reader, writer)


async def cut_twice(store: CuttingStore, record, trouble: bool) -> None:
    """Cut off the watches that wait, at two moments."""
    for pause_s in (SECOND_CUT_LATER_S - CUT_S, 0.0):
        if trouble:
            record.say("the store cuts off the watches that wait")
        store.cuts = trouble
        await asyncio.sleep(CUT_S)
        store.cuts = False
        await asyncio.sleep(pause_s)


async def scenario(record, scratch, programs, trouble) -> list[str]:
    """Play the case; return how the rule was broken."""
    standins.Store, standins.Server = CuttingStore, LeavingServer
    deployment = standins.Deployment(
        record=record,
        scratch=scratch,
        programs=programs,
        kind="non_idempotent",
    )
    await deployment.start()
    _, leaves = deployment.servers
    for _ in range(CALM_GROUPS):
        await asyncio.sleep(GROUP_INTERVAL_S)
        await deployment.ask_all(GROUP_SIZE, 0.0, "POST")
    group_at = time.monotonic() + GROUP_INTERVAL_S
    await asyncio.sleep(FIRST_CUT_AFTER_S)
    cutting = asyncio.create_task(cut_twice(deployment.store, record, trouble))
    await asyncio.sleep(LEAVES_AFTER_S)
    leaves.heart.cancel()
    leaves.leaving = True
    deployment.store.remove("servers", leaves.id)
    removed_at = time.monotonic()
    record.say(f"the entry of {leaves.id} is removed; it serves on")
    await cutting
    await asyncio.sleep(group_at - time.monotonic())
    group = asyncio.create_task(deployment.ask_all(GROUP_SIZE, 0.0, "POST"))
    await asyncio.sleep(ENDS_AFTER_S)
    record.say(
        f"{leaves.id} ends while it runs {sorted(leaves.running)};"
        f" {deployment.store.cut_off} watches were cut off"
    )
    ended = set(leaves.running)
    await leaves.stop()
    statuses = await group
    drain_s = standins.BOUNDS["drain_ms"] / 1000
    late = {
        request: reached - removed_at
        for request, reached in leaves.reached.items()
        if reached > removed_at + drain_s
    }
    for request, late_s in late.items():
        record.say(
            f"{request} reached {leaves.id} {late_s:.2f} s after its entry"
            f" was removed and is answered with {statuses.get(request)}"
        )
    lost = [r for r in ended if statuses.get(r) != 200]
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} of {GROUP_SIZE} requests reached {leaves.id}"
        f" {min(late.values()):.2f} s or more after its entry was removed"
        f" (drain_ms is {drain_s} s); {len(lost)} that may run once at most"
        " were cut off by its end"
    ]


if __name__ == "__main__":
    standins.main(scenario, pathlib.Path(__file__).resolve().parent)
