"""Times of versions that a restart of all processes must not lose."""

import time

import msgspec
import pytest

from tests import clock
from zinniadyke import directory
from zinniadyke import errors
from zinniadyke import fakes
from zinniadyke.gateway import _target_table
from zinniadyke import platform
from zinniadyke.platform import _store
from zinniadyke.platform import _version_record
from zinniadyke import uptime

SPEC = {"model": "m", "version": 2}
BOUND_S = 10.0


@pytest.fixture
def store():
    made = fakes.FakeStore()
    yield made
    made.stop()


@pytest.fixture
def client(store):
    return platform.StoreClient(address=store.address)


def record_age(store, age_s, version=2):
    store.put("versions", "m", SPEC)
    named_ms = int((time.time() - age_s) * 1000)
    store.put_status(
        "versions", "m", {"version": version, "named_unix_ms": named_ms}
    )


def restarted_view(client):
    view = directory.View()
    follower = platform.follow_versions(client, view)
    follower.watch_wait_s = 0.05
    follower.step()
    return view, follower


def age_s(view):
    age_ms = view.desired_weights_ages_ms()["m"].get(2)
    return None if age_ms is None else age_ms / 1000


def test_restarted_entry_uses_older_weights_until_the_bound(
    store, client, monkeypatch
):
    """A restart of all processes must not refuse what may still serve."""
    record_age(store, 4.0)
    view, _ = restarted_view(client)
    table = _target_table.TargetTable(
        view=view, version_bound_s=BOUND_S, select_targets=lambda found: found
    )
    assert table.min_version("m") == 0
    left_s = BOUND_S - 4.0 - _version_record.CLOCK_MARGIN_S
    left_s -= _target_table.VERSION_MARGIN_S
    manual = clock.Clock()
    start = uptime.now_s()
    monkeypatch.setattr(uptime, "now_s", manual.now_s)
    manual.now = start + left_s - 0.5
    assert table.min_version("m") == 0
    manual.now = start + left_s + 0.1
    assert table.min_version("m") == 2


@pytest.mark.parametrize(
    "status",
    [
        None,
        "text",
        [],
        {"version": 2},
        {"version": "2", "named_unix_ms": 1},
        {"version": 2, "named_unix_ms": None},
    ],
)
def test_unusable_status_leaves_the_time_unknown(store, client, status):
    store.put("versions", "m", SPEC)
    store.put_status("versions", "m", status)
    view, _ = restarted_view(client)
    assert view.desired_weights == {"m": 2}
    assert age_s(view) is None


def test_number_that_is_too_large_does_not_end_the_update():
    status = b'{"version": 2, "named_unix_ms": 1' + b"0" * 400 + b"}"
    stored = _store.StoreObject(
        metadata=_store.ObjectMetadata(name="m"), status=msgspec.Raw(status)
    )
    assert _version_record.recorded_since(stored, 2) is None


@pytest.mark.parametrize(
    ("age", "version", "logged"),
    [(-60.0, 2, 1), (601.0, 2, 1), (4.0, 1, 0), (4.0, 3, 1)],
)
def test_record_of_another_time_or_version_is_ignored(
    store, client, age, version, logged, caplog
):
    """A version keeps the status of the one before until it is replaced."""
    record_age(store, age, version)
    view, follower = restarted_view(client)
    follower.redeliver()
    assert age_s(view) is None
    ignored = [r for r in caplog.records if "naming ignored" in r.message]
    assert len(ignored) == logged


def test_record_wins_over_the_end_of_an_outage(store, client):
    """One failed call at a start made the version count as just named."""
    record_age(store, 5.0)
    view = directory.View()
    follower = platform.follow_versions(client, view)
    store.down = 503
    assert not follower.try_relist()
    store.down = 0
    follower.relist()
    assert 7.0 <= age_s(view) < 8.0


def test_record_that_follows_the_end_of_an_outage_wins_too(store, client):
    store.put("versions", "m", SPEC)
    view = directory.View()
    follower = platform.follow_versions(client, view)
    store.down = 503
    assert not follower.try_relist()
    # One failed call is no outage.
    follower.unanswered_since -= 5.0
    store.down = 0
    follower.relist()
    assert age_s(view) < 1.0
    record_age(store, 5.0)
    follower.relist()
    assert 7.0 <= age_s(view) < 8.0


def test_observed_time_and_version_stay_when_the_status_changes(store, client):
    view, follower = restarted_view(client)
    observed = []
    view.on_observed.append(lambda *named: observed.append(named))
    store.put("versions", "m", SPEC)
    follower.step()
    before = view.desired_since["m"][2]
    record_age(store, 5.0)
    follower.step()
    assert view.desired_since["m"] == {2: before}
    assert observed == [("m", 2, before)]


def test_only_what_is_missing_is_recorded(store, client):
    assert not platform.record_version(client, "m", 2, 5)
    store.put("versions", "m", SPEC)
    store.put_status("versions", "m", {"version": 1, "named_unix_ms": 1})
    assert not platform.record_version(client, "m", 1, 5)
    assert platform.record_version(client, "m", 2, 5)
    assert not platform.record_version(client, "m", 2, 6)
    stored = store.objects["versions"]["m"]
    assert stored["status"] == {"version": 2, "named_unix_ms": 5}
    assert stored["spec"] == SPEC


def test_status_write_at_another_revision_conflicts(store, client):
    store.put("versions", "m", SPEC)
    stored = client.get_object("versions", "m")
    store.put("versions", "m", SPEC)
    with pytest.raises(errors.ConflictError):
        client.replace_status("versions", stored)
