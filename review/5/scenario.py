"""A server leaves while the store cuts off the watches that wait."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins

# A watch that has waited this long is cut off.
CUT_AFTER_S = 1.5
# The service is quiet: groups of requests come at this interval, half of each
# group at each gateway.
GROUP_INTERVAL_S = 2.9
GROUP_SIZE = 12
# Groups before the server leaves; they take longer than stable_window_ms.
CALM_GROUPS = 3
# The server leaves this long after the last of them.
LEAVES_AFTER_S = 0.4
# It goes on for drain_ms and "a little longer", until this long after the
# beginning of the next group.
ENDS_AFTER_S = 0.05
WORK_S = 0.09


class CuttingStore(standins.Store):
    """A store that cuts off each watch that has waited for some time."""

    cuts = False

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
        if not self.cuts:
            return await super()._watch(kind, since, wait_s)
        answer = await super()._watch(kind, since, min(wait_s, CUT_AFTER_S))
        if '"events":[]' in answer[1]:
            # The connection ends without an answer.
            raise ConnectionResetError
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


async def scenario(record, scratch, programs, trouble) -> list[str]:
    """Play the case; return how the rule was broken."""
    standins.Store, standins.Server = CuttingStore, LeavingServer
    deployment = standins.Deployment(
        record=record,
        scratch=scratch,
        programs=programs,
        kind="non_idempotent",
    )
    deployment.store.cuts = trouble
    await deployment.start()
    _, leaves = deployment.servers
    for _ in range(CALM_GROUPS):
        await asyncio.sleep(GROUP_INTERVAL_S)
        await deployment.ask_all(GROUP_SIZE, 0.0, "POST")
    group_at = time.monotonic() + GROUP_INTERVAL_S
    await asyncio.sleep(LEAVES_AFTER_S)
    leaves.heart.cancel()
    leaves.leaving = True
    deployment.store.remove("servers", leaves.id)
    removed_at = time.monotonic()
    record.say(f"the entry of {leaves.id} is removed; it serves on")
    await asyncio.sleep(group_at - removed_at)
    group = asyncio.create_task(deployment.ask_all(GROUP_SIZE, 0.0, "POST"))
    await asyncio.sleep(ENDS_AFTER_S)
    record.say(f"{leaves.id} ends while it runs {sorted(leaves.running)}")
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
