"""Requests that wait for a slot as their entry stops."""

import eventlet

from tests.gateway import deployment as deploy
from zinniadyke.gateway import _target_state

GRACE_S = 4.0
SLOTS = 1
# Without reports a target also gets what its engine queues.
CAPACITY = SLOTS + _target_state.MAX_ENGINE_QUEUE
SPEC = deploy.configuration(
    routes=[deploy.route("long", timeout_ms=30_000, target_latency_ms=30_000)],
    services=[
        {
            "name": "desk",
            "max_connections": 50,
            "engine": {
                "slots": SLOTS,
                "models": [{"name": "m"}],
                "chunks": 1,
                "chunk_bytes": 1024,
            },
        }
    ],
)


def test_requests_that_wait_at_a_stop_are_answered():
    """Each one as not run, with a time to return, before the process ends."""
    busy = []

    def work(exchange):
        eventlet.sleep(60.0 if busy else 0.01)
        exchange.answer(body=b"done")

    def ask(number):
        return system.ask(
            "/long/x",
            X_Zinniadyke_Request_Id=f"q{number}",
            X_Zinniadyke_Deadline_Ms="30000",
            X_Zinniadyke_Model="m",
        )

    with deploy.deployment(spec=SPEC, grace_s=GRACE_S) as system:
        system.add_target(
            work, slots=SLOTS, models=[{"name": "m", "version": 1}]
        )
        assert deploy.wait_until(lambda: system.gateway.view.targets)
        for number in range(5):
            assert ask(number)[0] == 200
        busy.append(True)
        target = system.targets[0]
        running = [eventlet.spawn(ask, 10 + n) for n in range(CAPACITY)]
        assert deploy.wait_until(lambda: len(target.seen) == 5 + CAPACITY)
        waiting = [eventlet.spawn(ask, 20 + n) for n in range(6)]
        admission = system.gateway.forwarder.admissions["desk"]
        assert deploy.wait_until(lambda: len(admission.queue) == 6)
        stop = eventlet.spawn(system.gateway.shut_down)
        with eventlet.Timeout(GRACE_S):
            answers = [task.wait() for task in waiting]
        assert [status for status, *_ in answers] == [503] * 6
        assert all(float(h["Retry-After"]) > 0 for _, h, *_ in answers)
        assert len(target.seen) == 5 + CAPACITY
        for task in (*running, stop):
            task.kill()
