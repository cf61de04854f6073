"""Staged pieces that turn bad after they were read back."""

import types

import pytest

from tests import clock as clocks
from tests.sidecar import test_sidecar
from zinniadyke.sidecar import _staging
from zinniadyke.sidecar import _weights_updater
from zinniadyke import uptime

GOOD = [b"a", b"b", b"c"]


class Target:
    """Holds staged pieces; the process stands still while one is read."""

    def __init__(self, clock, still_s):
        self.clock = clock
        self.still_s = still_s
        self.staged = dict(enumerate(GOOD))

    def read_piece(self, model, index):
        if index == 1 and self.still_s:
            self.clock.now += self.still_s.pop(0)
            self.staged[0] = b"spoilt"
        return self.staged[index]

    def stage_piece(self, model, index, piece):
        self.staged[index] = piece

    def replace_connections(self):
        pass


@pytest.fixture
def clock(monkeypatch):
    made = clocks.Clock()
    monkeypatch.setattr(_staging, "uptime", made)
    return made


@pytest.fixture
def store():
    return types.SimpleNamespace(
        model="m",
        version=2,
        digests=GOOD,
        pieces=GOOD,
        matches=lambda index, piece: piece == GOOD[index],
    )


def test_pieces_that_were_read_before_a_standstill_are_read_again(
    clock, store
):
    target = Target(clock, [4.0])
    since = _staging.stage_and_verify(target, store)
    assert [target.staged[n] for n in range(3)] == GOOD
    assert since == clock.now


def test_slow_reading_does_not_keep_weights_from_loading(clock, store, caplog):
    target = Target(clock, [])
    target.read_piece = lambda model, index: (
        setattr(clock, "now", clock.now + 1.0) or GOOD[index]
    )
    assert _staging.stage_and_verify(target, store) == clock.now
    assert any("slowly" in r.message for r in caplog.records)


def test_pieces_that_were_verified_too_long_ago_are_not_ordered(monkeypatch):
    verified = []

    def verify(target, store):
        since = _staging.stage_and_verify(target, store)
        verified.append(since)
        return since if len(verified) > 1 else uptime.now_s() - 4.0

    monkeypatch.setattr(
        _weights_updater,
        "_staging",
        types.SimpleNamespace(
            stage_and_verify=verify,
            is_recent=_staging.is_recent,
            reuse_staged=_staging.reuse_staged,
        ),
    )
    fleet = test_sidecar.Fleet([1], version_ms=200.0)
    try:
        fleet.name(2)
        assert fleet.all_hold(2)
        (server,) = fleet.servers.values()
        assert len(server.accepted_orders) == 1
        assert len(verified) == 2
    finally:
        fleet.stop()
