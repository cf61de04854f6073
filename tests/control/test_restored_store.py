"""What the product wrote itself, after its store came back from a copy."""

import eventlet
import pytest

from tests import clock as clocks
from tests.control import test_sync
from zinniadyke.agent import _fence
from zinniadyke import control
from zinniadyke.control import _lease
from zinniadyke import errors
from zinniadyke import fakes
from zinniadyke import platform
from zinniadyke import requests
from zinniadyke.requests import _claims


@pytest.fixture
def fake():
    made = fakes.FakePlatform()
    yield made
    made.stop()


@pytest.fixture
def clock(monkeypatch):
    made = clocks.Clock()
    monkeypatch.setattr(_lease, "uptime", made)
    return made


def new_client(fake):
    return platform.PlatformClient(url=fake.url, timeout_s=0.5)


def lease(fake, name):
    return _lease.Lease(
        client=new_client(fake), key="k", holder=name, incarnation=f"{name}-1"
    )


def fence(fake, incarnation):
    return _fence.Fence(
        client=new_client(fake),
        host="h",
        service="s",
        incarnation=incarnation,
    )


def test_lease_of_the_lost_past_is_not_held(fake, clock):
    """The copy names the former holder; the one that followed still runs."""
    first, second = lease(fake, "a"), lease(fake, "b")
    first.renew_or_acquire()
    copy = fake.snapshot()
    second.renew_or_acquire()
    clock.now += _lease.LEASE_EXPIRY_S
    second.renew_or_acquire()
    assert second.held
    fake.restore(copy)
    first.renew_or_acquire()
    assert not first.held
    second.client.get("any/x", purpose=platform.Purpose.STATUS)
    assert not second.held
    clock.now += _lease.LEASE_EXPIRY_S - 0.1
    first.renew_or_acquire()
    assert not first.held
    clock.now += 0.2
    first.renew_or_acquire()
    assert first.held
    assert first.fence > second.fence


def test_lease_that_the_copy_lacks_is_not_taken_at_once(fake, clock):
    copy = fake.snapshot()
    first, second = lease(fake, "a"), lease(fake, "b")
    first.renew_or_acquire()
    second.renew_or_acquire()
    fake.restore(copy)
    second.renew_or_acquire()
    assert not second.held
    clock.now += _lease.LEASE_EXPIRY_S
    second.renew_or_acquire()
    assert second.held and second.fence > first.fence


def test_restarted_agent_refuses_fencing_numbers_of_an_earlier_era(fake):
    holder = lease(fake, "a")
    copy = fake.snapshot()
    holder.renew_or_acquire()
    fake.restore(copy)
    restarted = fence(fake, "life-2")
    restarted.check_agent_current()
    with pytest.raises(errors.OrderRefusedError):
        restarted.check_fencing_number(holder.fence)


def test_running_agent_refuses_fencing_numbers_of_an_earlier_era(fake):
    holder = lease(fake, "a")
    holder.renew_or_acquire()
    running = fence(fake, "life-1")
    running.check_agent_current()
    running.check_fencing_number(holder.fence)
    fake.restore(fake.snapshot())
    running.check_agent_current()
    with pytest.raises(errors.OrderRefusedError):
        running.check_fencing_number(holder.fence)


def grant(fake, name, *, down=(), number=1):
    return control.PermitAllocator(
        client=new_client(fake), service="s"
    ).reconcile(
        wanted={name: control.Permit(incarnation=name, version="m/2")},
        can_release=lambda host, permit: False,
        known={"h", "i"},
        down=set(down),
        floor=1,
        fence=number,
    )


def test_permit_of_the_lost_past_is_void(fake):
    """The copy holds a permit that was released, and lacks the next one."""
    grant(fake, "h")
    running = fence(fake, "h")
    running.check_permit("m/2")
    fake.restore(fake.snapshot())
    with pytest.raises(errors.OrderRefusedError):
        running.check_permit("m/2")
    # Granted again, in the new era, the floor is kept.
    number = control.first_fence(fake.era) + 1
    assert set(grant(fake, "i", number=number).out) == {"i"}
    with pytest.raises(errors.OrderRefusedError):
        running.check_permit("m/2")


def test_agent_whose_record_is_gone_registers_again(fake):
    copy = fake.snapshot()
    current = fence(fake, "life-1")
    current.check_agent_current()
    fake.restore(copy)
    current.check_agent_current()


def test_former_agent_in_the_copy_does_not_become_current(fake):
    former = fence(fake, "life-1")
    former.check_agent_current()
    copy = fake.snapshot()
    current = fence(fake, "life-2")
    current.check_agent_current()
    fake.restore(copy)
    current.check_agent_current()
    with pytest.raises(errors.OrderRefusedError):
        former.check_agent_current()
    current.check_agent_current()


@pytest.fixture
def quick_grace(monkeypatch):
    monkeypatch.setattr(_claims, "RESTORE_GRACE_S", 0.3)


def claim(store, request_id, key="claim/w/k"):
    return store.claim_or_replay(key, request_id, "digest", 30.0)


def test_lost_claim_is_written_again_and_its_answer_replayed(
    fake, quick_grace
):
    """A repeated request does not run again at another entry."""
    copy = fake.snapshot()
    first = requests.ClaimStore(client=new_client(fake))
    second = requests.ClaimStore(client=new_client(fake))
    second.client.get("any/x", purpose=platform.Purpose.STATUS)
    assert claim(first, "r1") is None
    first.record_outcome(
        "claim/w/k", "r1", requests.ClaimState.DONE, status=200, body=b"ok"
    )
    fake.restore(copy)
    with pytest.raises(errors.PlatformError):
        claim(second, "r2")
    first.client.get("any/x", purpose=platform.Purpose.STATUS)
    eventlet.sleep(0.4)
    assert claim(second, "r2").body == b"ok"


def test_outcome_is_stored_though_the_copy_lacks_the_claim(fake, quick_grace):
    copy = fake.snapshot()
    store = requests.ClaimStore(client=new_client(fake))
    assert claim(store, "r1") is None
    fake.restore(copy)
    store.record_outcome(
        "claim/w/k", "r1", requests.ClaimState.DONE, status=200, body=b"ok"
    )
    eventlet.sleep(0.4)
    assert claim(store, "r2").body == b"ok"


def test_claim_of_another_request_in_the_new_era_stays(fake):
    copy = fake.snapshot()
    first = requests.ClaimStore(client=new_client(fake))
    assert claim(first, "r1") is None
    fake.restore(copy)
    # A process that started after the restoration knows nothing of it.
    other = requests.ClaimStore(client=new_client(fake))
    assert claim(other, "r2") is None
    first.client.get("any/x", purpose=platform.Purpose.STATUS)
    eventlet.sleep(0.2)
    with pytest.raises(errors.RequestError):
        claim(other, "r3")
    stored = other.client.get("claim/w/k", purpose=platform.Purpose.CLAIM)
    assert b"r2" in stored.value


@pytest.fixture
def fleet():
    made = test_sync.Fleet(4)
    yield made
    for node in made.nodes:
        node.stop()
    made.fake.stop()


def head_revision(fleet):
    return control.read_head(new_client(fleet.fake)).head.revision


def test_accepted_changes_are_written_again(fleet):
    assert fleet.accept("service s { kind = plain }", "c1") == 1
    assert fleet.all_reach(1)
    copy = fleet.fake.snapshot()
    assert fleet.accept("workspace w { }", "c2") == 2
    assert fleet.all_reach(2)
    fleet.fake.restore(copy)
    with eventlet.Timeout(15.0):
        while head_revision(fleet) < 2:
            eventlet.sleep(0.05)
    assert control.change_outcome(new_client(fleet.fake), "c2").revision == 2
    assert fleet.accept("workspace v { }", "c3") == 3
    assert fleet.all_reach(3)


def test_changes_accepted_after_the_restoration_reach_everyone(fleet):
    """Their revisions were given out before, for changes that are lost."""
    fleet.accept("service s { kind = plain }", "c1")
    copy = fleet.fake.snapshot()
    fleet.accept("workspace w { }", "c2")
    fleet.accept("workspace x { }", "c3")
    assert fleet.all_reach(3)
    fleet.fake.restore(copy)
    fleet.accept("workspace v { }", "c4")
    assert fleet.all_reach(4)
    for node in fleet.nodes:
        assert "workspace//v" in node.store.documents
