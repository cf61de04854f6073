import pytest

from tests import clock
from zinniadyke import directory
from zinniadyke import errors


class Gone(errors.PlatformError):
    pass


class Source:
    """Answers a follower as a test says."""

    def __init__(self):
        self.clock = clock.Clock()
        self.objects = {"a": 1, "b": 2}
        self.answers = []
        self.waits = []
        self.taken = []
        self.follower = directory.Follower(
            name="kind",
            list_all=lambda: (dict(self.objects), 10),
            wait_for_changes=self.wait_for_changes,
            history_gone=Gone,
            take=self.taken.append,
            keep_lapsed=True,
            clock=self.clock.monotonic,
        )

    def wait_for_changes(self, revision, wait_s):
        self.waits.append((revision, wait_s))
        found = self.answers.pop(0)
        if isinstance(found, Exception):
            raise found
        return found, revision + 1


def lose_and_return(source):
    source.follower._note_lost(errors.PlatformError("down"))
    source.clock.now += 5.0


def test_changes_are_taken_as_they_come():
    source = Source()
    source.follower.step()
    source.answers = [[("b", None), ("c", 3)], []]
    source.follower.step()
    source.follower.step()
    assert source.taken == [{"a": 1, "b": 2}, {"a": 1, "c": 3}]


def test_objects_that_lapsed_with_the_store_may_come_back():
    source = Source()
    source.follower.step()
    lose_and_return(source)
    source.objects = {"a": 1}
    source.follower.step()
    assert source.taken[-1] == {"a": 1, "b": 2}
    source.answers = [[("b", 5)]]
    source.follower.step()
    assert source.taken[-1] == {"a": 1, "b": 5}
    assert source.follower.lapsed == {}


def test_objects_that_stay_away_are_gone_after_two_seconds():
    source = Source()
    source.follower.step()
    lose_and_return(source)
    source.objects = {"a": 1}
    source.follower.step()
    source.clock.now += 2.1
    source.answers = [[]]
    source.follower.step()
    assert source.taken[-1] == {"a": 1}


def test_without_an_outage_what_is_removed_is_gone_at_once():
    source = Source()
    source.follower.step()
    source.answers = [[("b", None)]]
    source.follower.step()
    assert source.taken[-1] == {"a": 1}


def test_lost_history_means_that_the_list_is_read_again():
    source = Source()
    source.follower.step()
    source.answers = [Gone("gone")]
    with pytest.raises(Gone):
        source.follower.step()


def test_wait_ends_when_lapsed_objects_are_to_be_taken_as_gone():
    """A target that left during an outage got requests 3.4 s later."""
    source = Source()
    source.follower.step()
    lose_and_return(source)
    source.objects = {"a": 1}
    source.follower.step()
    source.clock.now += 0.5
    source.answers = [[]]
    source.follower.step()
    assert 1.4 < source.waits[-1][1] < 1.7


def test_watch_without_changes_goes_on_from_where_it_was():
    """A store that heard nothing for a while may have missed a change.

    It answers with its newest revision; going on from there would skip what
    it missed, going on from before brings it, or tells that history is gone.
    """
    source = Source()
    source.follower.step()
    source.answers = [[], [("b", 5)], []]
    for _ in range(3):
        source.follower.step()
    assert [revision for revision, _ in source.waits] == [10, 10, 11]
