import eventlet

from zinniadyke import control
from zinniadyke import fakes
from zinniadyke import platform

KNOWN = {"a", "b", "c", "d"}


def book(fake):
    client = platform.PlatformClient(url=fake.url)
    return control.PermitAllocator(client=client, service="s")


def permit(name, life="life", version="m/2"):
    return control.Permit(incarnation=f"{name}-{life}", version=version)


def step(fake, wanted, *, done=(), down=(), floor=2, fence=1, known=KNOWN):
    return book(fake).reconcile(
        wanted={name: permit(name) for name in wanted},
        can_release=lambda host, permit: host in done,
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


def test_hosts_that_do_not_serve_get_no_permit_and_count_as_out():
    fake = fakes.FakePlatform()
    found = step(fake, ["a", "b", "c"], down=["a", "d"])
    assert set(found.out) == set()
    found = step(fake, ["a", "b", "c"], down=["a"])
    assert set(found.out) == {"b"}
    found = step(fake, ["c"], done=["b"])
    assert set(found.out) == {"c"}
    fake.stop()


def test_hosts_that_serve_again_are_not_out_by_what_was_before():
    fake = fakes.FakePlatform()
    step(fake, sorted(KNOWN), down=KNOWN)
    assert len(step(fake, sorted(KNOWN)).out) == 2
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
    again = book(fake).reconcile(
        wanted={"b": permit("b", "second-life")},
        can_release=lambda host, permit: False,
        known=KNOWN,
        down={"c"},
        floor=2,
        fence=1,
    )
    assert again.out == {"b": permit("b", "second-life")}
    fake.stop()
