import random

import eventlet

from zinniadyke import requests


def lane(rank=1, priority=1, scope=None):
    return requests.Lane(
        level=priority, priority=priority, rank=rank, scope=scope
    )


def wait_in(queue, found, name, granted):
    def wait():
        queue.wait_in(found, name, 100, 5.0)
        granted.append((name, found))

    return eventlet.spawn(wait)


def grant_all(queue, **options):
    while queue.grant_eligible(options.get("eligible", lambda found: True)):
        eventlet.sleep(0)
    eventlet.sleep(0)


def test_one_rank_is_granted_in_the_order_of_the_fair_queue():
    """Deployments whose routes are alike keep their order of grants."""
    rng = random.Random(1)
    arrivals = [(f"w{rng.randrange(4)}", rng.randrange(3)) for _ in range(60)]
    plain, ranked = requests.FairQueue(), requests.LaneQueue()
    order, expected = [], []

    def wait(name, priority):
        plain.wait(name, 1, priority, 100, 5.0)
        expected.append((name, priority))

    for name, priority in arrivals:
        eventlet.spawn(wait, name, priority)
        wait_in(ranked, lane(priority=priority), name, order)
    eventlet.sleep(0)
    while plain.grant():
        eventlet.sleep(0)
    grant_all(ranked)
    eventlet.sleep(0)
    assert [(name, found.priority) for name, found in order] == expected


def test_urgent_rank_goes_first_and_a_short_one_before_it():
    queue, granted = requests.LaneQueue(), []
    for rank in (2, 1, 0):
        wait_in(queue, lane(rank), "w", granted)
    eventlet.sleep(0)
    queue.rank_of = lambda rank: -1 if rank == 1 else rank
    grant_all(queue)
    assert [found.rank for _, found in granted] == [1, 0, 2]


def test_lane_without_a_place_does_not_hold_up_others():
    queue, granted = requests.LaneQueue(), []
    for scope in ("full", "free"):
        wait_in(queue, lane(scope=scope), "w", granted)
    eventlet.sleep(0)
    grant_all(queue, eligible=lambda found: found.scope == "free")
    assert [found.scope for _, found in granted] == ["free"]
    assert len(queue) == 1
    grant_all(queue)


def test_requests_that_left_are_not_counted_or_granted():
    queue, granted = requests.LaneQueue(), []
    wait_in(queue, lane(0), "w", granted).kill()
    task = wait_in(queue, lane(0), "w", granted)
    wait_in(queue, lane(1), "v", granted)
    eventlet.sleep(0)
    assert queue.count_ahead_in(lane(0)) == 1
    assert queue.count_ahead_in(lane(1)) == 2
    task.kill()
    eventlet.sleep(0)
    assert queue.count_ahead_in(lane(1)) == 1
    assert queue.goes_first(lane(0))
    grant_all(queue)
    assert [name for name, _ in granted] == ["v"]
