"""Leases: lapse, pause, lost answers, two holders."""

import pytest

from tests import clock as clocks
from zinniadyke.control import _lease
from zinniadyke import fakes
from zinniadyke import platform


@pytest.fixture
def clock(monkeypatch):
    made = clocks.Clock()
    monkeypatch.setattr(_lease, "time", made)
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


def test_the_holder_stops_before_another_may_begin(fake, clock):
    first, second = lease(fake, "a"), lease(fake, "b")
    first.step()
    second.step()
    assert first.held and not second.held
    clock.now += _lease.SAFE_S
    assert not first.held
    second.step()
    assert not second.held
    clock.now += _lease.TERM_S - _lease.SAFE_S
    second.step()
    assert second.held and second.fence == first.fence + 1


def test_a_paused_holder_finds_that_it_lost(fake, clock):
    first, second = lease(fake, "a"), lease(fake, "b")
    first.step()
    second.step()
    clock.now += _lease.TERM_S
    second.step()
    first.step()
    assert second.held and not first.held
    assert _lease.lease_fence(first.client, "k") == second.fence


def test_renewal_keeps_the_number_and_others_away(fake, clock):
    first, second = lease(fake, "a"), lease(fake, "b")
    first.step()
    for _ in range(10):
        clock.now += _lease.RENEW_S
        first.step()
        second.step()
        assert first.held and not second.held
    assert first.fence == 1


def test_a_lost_answer_is_not_taken_for_a_lease(fake, clock):
    first = lease(fake, "a")
    fake.faults.lose_answers = 1
    first.step()
    assert not first.held
    first.step()
    assert first.held and first.fence == 1


def test_an_outage_ends_holding_in_time(fake, clock):
    first = lease(fake, "a")
    first.step()
    fake.faults.down = True
    clock.now += _lease.SAFE_S
    first.step()
    assert not first.held
