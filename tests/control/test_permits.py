import eventlet

from zinniadyke import control
from zinniadyke import fakes
from zinniadyke import platform

KNOWN = {"a", "b", "c", "d"}


def book(fake):
    client = platform.PlatformClient(url=fake.url)
    return control.PermitBook(client=client, service="s")


def step(fake, wanted, *, done=(), down=(), floor=2, fence=1, known=KNOWN):
    return book(fake).step(
        wanted={name: f"{name}-life" for name in wanted},
        done=done,
        known=known,
        down=set(down),
        floor=floor,
        fence=fence,
    )


def test_two_leaders_together_stay_above_the_floor():
    fake = fakes.FakePlatform()
    tasks = [
        eventlet.spawn(step, fake, ["a", "b"], fence=1),
        eventlet.spawn(step, fake, ["c", "d"], fence=2),
        eventlet.spawn(step, fake, ["b", "c"], fence=2),
    ]
    for task in tasks:
        task.wait()
    assert len(step(fake, [], fence=2).out) == 2
    fake.stop()


def test_hosts_that_do_not_serve_cost_nothing_and_count_as_out():
    fake = fakes.FakePlatform()
    found = step(fake, ["a", "b", "c"], down=["a", "d"])
    assert set(found.out) == {"a"}
    found = step(fake, ["b"], done=["a"])
    assert set(found.out) == {"b"}
    fake.stop()


def test_a_former_leader_changes_nothing():
    fake = fakes.FakePlatform()
    step(fake, ["a"], fence=5)
    found = step(fake, ["b"], done=["a"], fence=4)
    assert (found.fence, set(found.out)) == (5, {"a"})
    fake.stop()


def test_hosts_that_are_gone_or_restarted_do_not_block():
    fake = fakes.FakePlatform()
    step(fake, ["a", "b"])
    found = step(fake, ["c"], known={"b", "c", "d"})
    assert set(found.out) == {"b"}
    again = book(fake).step(
        wanted={"b": "b-second-life"},
        done=[],
        known=KNOWN,
        down={"b"},
        floor=2,
        fence=1,
    )
    assert again.out == {"b": "b-second-life"}
    fake.stop()
