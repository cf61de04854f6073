"""Grants of free slots to waiting requests."""

import types

import eventlet

from zinniadyke.entry import _crash_guard
from zinniadyke.entry import _target_pool
from zinniadyke import peers


class FakeLink:
    """A link to a target with some slots."""

    def __init__(self, slots: int) -> None:
        self.host = types.SimpleNamespace(name="h")
        self.status = types.SimpleNamespace(version="m/1")
        self.slots = slots
        self.in_flight = 0
        self.ejected_until_s = 0.0
        self.load = 0.0
        self.possibly_alive = True
        self.gate = peers.GateState.SERVING

    @property
    def free_slots(self) -> int:
        return self.slots - self.in_flight


def make_request(workspace: str):
    return types.SimpleNamespace(
        workspace=workspace,
        share=1,
        priority=1,
        max_queued=99,
        model="",
        versions={},
        time_left_s=lambda: 10.0,
    )


def test_one_free_slot_grants_one_request_in_order():
    pool = _target_pool.TargetPool(
        node=None, service="s", crash_guard=_crash_guard.CrashGuard()
    )
    link = pool.links["h"] = FakeLink(slots=1)
    served = []

    def serve(name: str) -> None:
        pool.acquire(make_request(name), set())
        served.append(name)

    serve("first")
    for name in ("second", "third"):
        eventlet.spawn(serve, name)
    eventlet.sleep(0)
    link.in_flight -= 1
    pool.grant_free_slots()
    pool.grant_free_slots()
    # Arrives after the grant, before the granted request resumes.
    late = eventlet.spawn(serve, "late")
    assert pool.queue.pending_grants == 1
    eventlet.sleep(0)
    eventlet.sleep(0)
    assert served == ["first", "second"]
    assert len(pool.queue) == 2
    for expected in ("third", "late"):
        pool.release(link)
        eventlet.sleep(0)
        assert served[-1] == expected
    late.wait()
