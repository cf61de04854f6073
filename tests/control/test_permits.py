import eventlet

from zinniadyke import control
from zinniadyke import fakes
from zinniadyke import platform

KNOWN = {"a", "b", "c", "d"}


def allocator(fake):
    client = platform.PlatformClient(url=fake.url)
    return control.PermitAllocator(client=client, service="s")


def permit(name, life="life", version="m/2"):
    return control.Permit(incarnation=f"{name}-{life}", version=version)


def reconcile(
    fake, wanted, *, done=(), down=(), floor=2, fence=1, known=KNOWN
):
    return allocator(fake).reconcile(
        wanted={name: permit(name) for name in wanted},
        can_release=lambda host, permit: host in done,
        known=known,
        down=set(down),
        floor=floor,
        fence=fence,
    )


def test_concurrent_controllers_keep_the_floor():
    fake = fakes.FakePlatform()
    tasks = [
        eventlet.spawn(reconcile, fake, ["a", "b"], fence=1),
        eventlet.spawn(reconcile, fake, ["c", "d"], fence=2),
        eventlet.spawn(reconcile, fake, ["b", "c"], fence=2),
    ]
    for task in tasks:
        task.wait()
    assert len(reconcile(fake, [], fence=2).out) == 2
    fake.stop()


def test_hosts_that_do_not_serve_get_no_permit_and_count_as_out_of_service():
    fake = fakes.FakePlatform()
    found = reconcile(fake, ["a", "b", "c"], down=["a", "d"])
    assert set(found.out) == set()
    found = reconcile(fake, ["a", "b", "c"], down=["a"])
    assert set(found.out) == {"b"}
    found = reconcile(fake, ["c"], done=["b"])
    assert set(found.out) == {"c"}
    fake.stop()


def test_hosts_that_serve_again_need_a_permit():
    fake = fakes.FakePlatform()
    reconcile(fake, sorted(KNOWN), down=KNOWN)
    assert len(reconcile(fake, sorted(KNOWN)).out) == 2
    fake.stop()


def test_a_lower_fencing_number_changes_nothing():
    fake = fakes.FakePlatform()
    reconcile(fake, ["a"], fence=5)
    found = reconcile(fake, ["b"], done=["a"], fence=4)
    assert (found.fence, set(found.out)) == (5, {"a"})
    fake.stop()


def test_removed_or_restarted_hosts_do_not_block_permits():
    fake = fakes.FakePlatform()
    reconcile(fake, ["a", "b"])
    found = reconcile(fake, ["c"], known={"b", "c", "d"})
    assert set(found.out) == {"b"}
    again = allocator(fake).reconcile(
        wanted={"b": permit("b", "second-life")},
        can_release=lambda host, permit: False,
        known=KNOWN,
        down={"c"},
        floor=2,
        fence=1,
    )
    assert again.out == {"b": permit("b", "second-life")}
    fake.stop()
