"""Turns of waiting requests for slots that come free."""

import types

import eventlet

from zinniadyke.entry import _target_pool
from zinniadyke import peers


class Link:
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


def call(workspace: str):
    return types.SimpleNamespace(
        workspace=workspace,
        share=1,
        priority=1,
        max_queued=99,
        model="",
        versions={},
        time_left_s=lambda: 10.0,
    )


def test_one_slot_gives_one_turn_and_nobody_overtakes_it():
    pool = _target_pool.TargetPool(node=None, service="s")
    link = pool.links["h"] = Link(slots=1)
    served = []

    def serve(name: str) -> None:
        pool.acquire(call(name), set())
        served.append(name)

    serve("first")
    for name in ("second", "third"):
        eventlet.spawn(serve, name)
    eventlet.sleep(0)
    link.in_flight -= 1
    pool.grant_free_slots()
    pool.grant_free_slots()
    # This one comes before the woken request has run.
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
