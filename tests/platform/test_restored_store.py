"""A store that comes back from a copy some seconds old, in a new era.

Revisions after the copy are given out again for other changes, and what was
written there since the copy is gone.
"""

import eventlet
import pytest

from tests.gateway import deployment as deploy
from zinniadyke import directory
from zinniadyke import errors
from zinniadyke import fakes
from zinniadyke import platform
from zinniadyke.platform import _store

PURPOSE = platform.Purpose.STATUS
KEY = "status/r"


@pytest.fixture
def store():
    made = fakes.FakeStore()
    yield made
    made.stop()


@pytest.fixture
def client(store):
    return _store.StoreClient(address=store.address, timeout_s=0.5)


@pytest.fixture
def records(store):
    return platform.PlatformClient(
        url=f"http://{store.address}", timeout_s=0.5
    )


def registration(store, name, **more):
    spec = {
        "service": "desk",
        "address": f"10.0.0.{name[1:]}:80",
        "zone": "z1",
        "state": "ready",
        "version": "v1",
        "slots": 4,
        "cold_remaining_ms": 0,
        "seq": 1,
        "born": 1000,
        **more,
    }
    store.put("servers", name, spec)


def follow_targets(client):
    view = directory.View()
    return view, platform.follow_targets(client, view)


def step_until_listed(follower):
    """Step past the error that tells a follower to list again."""
    for _ in range(3):
        try:
            follower.step()
            return
        except errors.PlatformError:
            follower.revision = None
    raise AssertionError("the store was not listed")


def test_changes_below_an_old_revision_are_not_missed(store, client):
    """A revision that is given out again must not look up to date."""
    copy = store.snapshot()
    for version in (1, 2, 3):
        store.put("versions", "m", {"model": "m", "version": version})
    revision = client.list_objects("versions").revision
    store.restore(copy)
    for version in (4, 5, 6):
        store.put("versions", "m", {"model": "m", "version": version})
    assert store.revision == revision.number
    # Same number, another era: the watch must not be believed.
    with pytest.raises(_store.StoreRestoredError):
        client.watch("versions", revision, 0.05)
    assert client.list_objects("versions").revision.era == store.era


def test_waiting_watch_ends_when_the_store_is_restored(store, client):
    copy = store.snapshot()
    store.put("versions", "m", {"model": "m", "version": 1})
    revision = client.list_objects("versions").revision
    watch = eventlet.spawn(client.watch, "versions", revision, 2.0)
    eventlet.sleep(0.05)
    store.restore(copy)
    with pytest.raises(_store.HistoryGoneError):
        watch.wait()


def test_answer_of_an_earlier_era_is_dropped(store, client):
    store.era = 7
    client.list_objects("servers")
    store.era = 6
    with pytest.raises(_store.StoreRestoredError):
        client.list_objects("servers")
    assert client.era == 7


def test_late_watch_of_an_earlier_era_is_dropped(store, client):
    """Another call learned the new era while this watch was on its way."""
    revision = client.list_objects("servers").revision
    watch = eventlet.spawn(client.watch, "servers", revision, 2.0)
    eventlet.sleep(0.05)
    client.era += 1
    store.put("servers", "t1", {})
    with pytest.raises(_store.StoreRestoredError):
        watch.wait()


@pytest.mark.parametrize("stated", [None, "", "seven", "-1", "1.5"])
def test_answer_without_an_era_is_refused_once_eras_are_known(
    store, client, stated
):
    client.list_objects("servers")
    store.era = stated
    with pytest.raises(_store.EraUnknownError):
        client.list_objects("servers")


@pytest.mark.parametrize("stated", [None, "seven"])
def test_store_that_never_states_an_era_is_used(store, client, stated):
    store.era = stated
    store.put("servers", "t1", {})
    assert len(client.list_objects("servers").objects) == 1
    assert client.era == platform.NO_ERA


def test_list_that_spans_a_restoration_is_not_used(store, client):
    store.page_size = 1
    for name in ("t1", "t2"):
        store.put("servers", name, {})
    copy = store.snapshot()
    client.list_objects("servers")
    list_page, pages = store._list, []

    def restore_after_the_first_page(*arguments):
        if len(pages) == 1:
            store.restore(copy)
        pages.append(1)
        return list_page(*arguments)

    store._list = restore_after_the_first_page
    with pytest.raises(_store.StoreRestoredError):
        client.list_objects("servers")


def test_unreadable_items_at_the_end_of_a_page_do_not_stop_a_list(store):
    store.page_size = 2
    store.put("servers", "t1", {})
    store.put("servers", "t2", {})
    store.put("servers", "t3", {})
    store.objects["servers"]["t2"]["metadata"]["revision"] = "x"
    client = _store.StoreClient(address=store.address)
    listed = client.list_objects("servers")
    assert [o.metadata.name for o in listed.objects] == ["t1", "t3"]


def test_conditional_write_of_an_earlier_era_conflicts(store, records):
    """The revision belongs to another writer's change by now."""
    records.put(KEY, b"1", purpose=PURPOSE, revision=None)
    copy = store.snapshot()
    mine = records.put(
        KEY,
        b"2",
        purpose=PURPOSE,
        revision=records.get(KEY, purpose=PURPOSE).revision,
    )
    store.restore(copy)
    other = platform.PlatformClient(url=f"http://{store.address}")
    theirs = other.put(
        KEY,
        b"other",
        purpose=PURPOSE,
        revision=other.get(KEY, purpose=PURPOSE).revision,
    )
    assert theirs.number == mine.number
    assert records.get(KEY, purpose=PURPOSE).value == b"other"
    with pytest.raises(errors.ConflictError):
        records.put(KEY, b"3", purpose=PURPOSE, revision=mine)
    assert records.get(KEY, purpose=PURPOSE).value == b"other"


def test_write_whose_answer_is_lost_with_the_copy_is_written_again(
    store, records
):
    copy = store.snapshot()
    store.lose_answers = 1
    eventlet.spawn_after(0.01, store.restore, copy)
    platform.compare_and_swap(
        records, KEY, b"1", purpose=PURPOSE, revision=None, deadline_s=5.0
    )
    assert records.get(KEY, purpose=PURPOSE).value == b"1"


def test_watched_record_is_read_again_in_a_new_era(store, records):
    records.put(KEY, b"0", purpose=PURPOSE, revision=None)
    copy = store.snapshot()
    for value in (b"1", b"2"):
        stored = records.get(KEY, purpose=PURPOSE)
        revision = records.put(
            KEY, value, purpose=PURPOSE, revision=stored.revision
        )
    store.restore(copy)
    found = records.watch(KEY, purpose=PURPOSE, after=revision, wait_s=0.05)
    assert found.value == b"0"
    assert (
        records.watch(KEY, purpose=PURPOSE, after=found.revision, wait_s=0.05)
        is None
    )


def test_configuration_is_not_undone_and_follows_when_written_again(
    store, client
):
    view = directory.View()
    follower = platform.follow_configuration(client, view)
    store.put("config", "main", deploy.configuration(version=3))
    copy = store.snapshot()
    store.put("config", "main", deploy.configuration(version=5))
    step_until_listed(follower)
    store.restore(copy)
    step_until_listed(follower)
    step_until_listed(follower)
    assert view.configuration.version == 5
    store.put("config", "main", deploy.configuration(version=8))
    step_until_listed(follower)
    assert view.configuration.version == 8


def test_named_version_is_not_undone(store, client):
    view = directory.View()
    follower = platform.follow_versions(client, view)
    copy = store.snapshot()
    store.put("versions", "m", {"model": "m", "version": 4})
    step_until_listed(follower)
    store.restore(copy)
    step_until_listed(follower)
    store.put("versions", "m", {"model": "m", "version": 3})
    step_until_listed(follower)
    assert view.desired_weights == {"m": 4}


def test_registration_missing_from_the_copy_is_kept_for_the_grace_period(
    store, client
):
    view, follower = follow_targets(client)
    copy = store.snapshot()
    registration(store, "t1")
    step_until_listed(follower)
    store.restore(copy)
    step_until_listed(follower)
    assert set(view.targets) == {"t1"}
    follower.clock = lambda: follower.outage_ended_at + 2.1
    step_until_listed(follower)
    assert set(view.targets) == set()


def test_target_that_left_is_not_used_again_from_the_copy(store, client):
    """It is back only once it registers anew, by a change of its entry."""
    view, follower = follow_targets(client)
    registration(store, "t1")
    registration(store, "t2")
    copy = store.snapshot()
    step_until_listed(follower)
    store.remove("servers", "t1")
    step_until_listed(follower)
    assert set(view.targets) == {"t2"}
    store.restore(copy)
    step_until_listed(follower)
    step_until_listed(follower)
    assert set(view.targets) == {"t2"}
    follower.relist()
    assert set(view.targets) == {"t2"}
    registration(store, "t1", seq=2)
    step_until_listed(follower)
    assert set(view.targets) == {"t1", "t2"}


def test_target_that_is_leaving_stays_so_though_the_copy_says_ready(
    store, client
):
    view, follower = follow_targets(client)
    registration(store, "t1")
    copy = store.snapshot()
    registration(store, "t1", state="draining")
    step_until_listed(follower)
    store.restore(copy)
    step_until_listed(follower)
    step_until_listed(follower)
    assert view.targets["t1"].leaving
    # Another start under the same id is another target.
    registration(store, "t1", born=2000)
    step_until_listed(follower)
    assert not view.targets["t1"].leaving
