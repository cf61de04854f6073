"""Leases: expiry, paused holders, lost responses, two contenders."""

import pytest

from tests import clock as clocks
from zinniadyke.control import _lease
from zinniadyke import fakes
from zinniadyke import platform


@pytest.fixture
def clock(monkeypatch):
    made = clocks.Clock()
    monkeypatch.setattr(_lease, "uptime", made)
    return made


@pytest.fixture
def fake():
    made = fakes.FakePlatform()
    yield made
    made.stop()


def lease(fake, name):
    client = platform.PlatformClient(url=fake.url, timeout_s=0.5)
    return _lease.Lease(
        client=client, key="k", holder=name, incarnation=f"{name}-life"
    )


def test_the_holder_stops_before_another_takes_over(fake, clock):
    first, second = lease(fake, "a"), lease(fake, "b")
    first.renew_or_acquire()
    second.renew_or_acquire()
    assert first.held and not second.held
    clock.now += _lease.HOLDER_VALIDITY_S
    assert not first.held
    second.renew_or_acquire()
    assert not second.held
    clock.now += _lease.LEASE_EXPIRY_S - _lease.HOLDER_VALIDITY_S
    second.renew_or_acquire()
    assert second.held and second.fence == first.fence + 1


def test_a_paused_holder_detects_that_it_lost_the_lease(fake, clock):
    first, second = lease(fake, "a"), lease(fake, "b")
    first.renew_or_acquire()
    second.renew_or_acquire()
    clock.now += _lease.LEASE_EXPIRY_S
    second.renew_or_acquire()
    first.renew_or_acquire()
    assert second.held and not first.held
    assert _lease.lease_fence(first.client, "k") == second.fence


def test_renewal_keeps_the_fencing_number_and_the_lease(fake, clock):
    first, second = lease(fake, "a"), lease(fake, "b")
    first.renew_or_acquire()
    for _ in range(10):
        clock.now += _lease.RENEW_INTERVAL_S
        first.renew_or_acquire()
        second.renew_or_acquire()
        assert first.held and not second.held
    assert first.fence == 1


def test_a_lost_response_does_not_count_as_holding(fake, clock):
    first = lease(fake, "a")
    fake.faults.lose_answers = 1
    first.renew_or_acquire()
    assert not first.held
    first.renew_or_acquire()
    assert first.held and first.fence == 1


def test_the_lease_is_not_held_after_an_outage(fake, clock):
    first = lease(fake, "a")
    first.renew_or_acquire()
    fake.faults.down = True
    clock.now += _lease.HOLDER_VALIDITY_S
    first.renew_or_acquire()
    assert not first.held


def test_a_suspended_holder_does_not_act_on_its_lease(fake, monkeypatch):
    """The steady clock stands still while a host is suspended."""
    now = [1000.0]
    monkeypatch.setattr(
        _lease.uptime.time, "clock_gettime", lambda clock: now[0]
    )
    first = lease(fake, "a")
    first.renew_or_acquire()
    assert first.held
    now[0] += _lease.HOLDER_VALIDITY_S
    assert not first.held
