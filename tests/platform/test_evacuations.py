"""Evacuations as the operator writes them to the store."""

import pytest

from zinniadyke import directory
from zinniadyke import errors
from zinniadyke import fakes
from zinniadyke import platform


class Followed:
    """A view that follows the evacuations of a fake store."""

    def __init__(self):
        self.store = fakes.FakeStore()
        self.view = directory.View()
        self.follower = platform.follow_evacuations(
            platform.StoreClient(address=self.store.address, timeout_s=0.5),
            self.view,
            zones={"z1", "z2"},
        )
        self.follower.watch_wait_s = 0.05
        self.step()

    @property
    def zones(self):
        return self.view.evacuated_zones

    def step(self):
        """Step past the error that tells a follower to list again."""
        for _ in range(3):
            try:
                self.follower.step()
                return
            except errors.PlatformError:
                self.follower.revision = None
        raise AssertionError("the store was not listed")

    def put(self, name, spec=None):
        self.store.put("evacuations", name, {} if spec is None else spec)
        self.step()

    def remove(self, name):
        self.store.remove("evacuations", name)
        self.step()


@pytest.fixture
def followed():
    made = Followed()
    yield made
    made.store.stop()


def test_zone_is_evacuated_until_its_object_is_removed(followed):
    assert followed.zones == set()
    followed.put("z1")
    followed.put("z2")
    assert followed.zones == {"z1", "z2"}
    followed.remove("z1")
    assert followed.zones == {"z2"}


def test_unknown_zone_evacuates_nothing_and_is_logged_once(followed, caplog):
    followed.put("z9")
    followed.put("z1")
    assert followed.zones == {"z1"}
    found = [r for r in caplog.records if getattr(r, "object", "") == "z9"]
    assert [r.reason for r in found] == ["no zone of this name"]


@pytest.mark.parametrize("spec", [None, 7, "x", ["z1"]])
def test_unreadable_spec_evacuates_the_zone_and_is_logged(
    followed, caplog, spec
):
    followed.store.put("evacuations", "z1", spec)
    followed.step()
    assert followed.zones == {"z1"}
    assert [r.zone for r in caplog.records if hasattr(r, "zone")] == ["z1"]


def test_removal_during_an_outage_returns_the_zone(followed):
    """A list after an outage is not held back as lapsed objects are."""
    followed.put("z1")
    followed.follower._record_failure(errors.PlatformError("down"))
    followed.store.remove("evacuations", "z1")
    followed.step()
    assert followed.zones == set()


def test_evacuation_that_a_restored_store_has_lost_is_held(followed):
    copy = followed.store.snapshot()
    followed.put("z1")
    followed.store.restore(copy)
    followed.step()
    followed.step()
    assert followed.view.evacuations.era == followed.store.era
    assert followed.zones == {"z1"}
    followed.put("z1")
    followed.remove("z1")
    assert followed.zones == set()


def test_evacuation_that_a_restored_store_lists_again_is_in_force(followed):
    """A process that starts then has no memory of the removal."""
    followed.put("z1")
    copy = followed.store.snapshot()
    followed.remove("z1")
    followed.store.restore(copy)
    followed.step()
    followed.step()
    assert followed.zones == {"z1"}
