import pytest

from tests import clock
from zinniadyke import directory
from zinniadyke.directory import _follower
from zinniadyke import errors


class HistoryGone(errors.PlatformError):
    pass


class Source:
    """Fake store that gives a follower the answers set by a test."""

    def __init__(self):
        self.clock = clock.Clock()
        self.objects = {"a": 1, "b": 2}
        self.answers = []
        self.waits = []
        self.updates = []
        self.answered_at = float("-inf")
        self.follower = directory.Follower(
            name="kind",
            list_all=lambda: (dict(self.objects), 10),
            wait_for_changes=self.wait_for_changes,
            history_gone=HistoryGone,
            on_update=self.updates.append,
            keep_lapsed=True,
            answered_at=lambda: self.answered_at,
            clock=self.clock.monotonic,
        )

    def wait_for_changes(self, revision, wait_s):
        self.waits.append((revision, wait_s))
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer, revision + 1


def have_outage(source):
    source.follower._record_failure(errors.PlatformError("down"))
    source.clock.now += 5.0


def test_changes_are_applied_in_order():
    source = Source()
    source.follower.step()
    source.answers = [[("b", None), ("c", 3)], []]
    source.follower.step()
    source.follower.step()
    assert source.updates == [{"a": 1, "b": 2}, {"a": 1, "c": 3}]


def test_objects_missing_after_an_outage_are_kept_until_they_return():
    source = Source()
    source.follower.step()
    have_outage(source)
    source.objects = {"a": 1}
    source.follower.step()
    assert source.updates[-1] == {"a": 1, "b": 2}
    source.answers = [[("b", 5)]]
    source.follower.step()
    assert source.updates[-1] == {"a": 1, "b": 5}
    assert source.follower.lapsed == {}


def test_objects_that_do_not_return_are_removed_after_two_seconds():
    source = Source()
    source.follower.step()
    have_outage(source)
    source.objects = {"a": 1}
    source.follower.step()
    source.clock.now += 2.1
    source.answers = [[]]
    source.follower.step()
    assert source.updates[-1] == {"a": 1}


def test_removal_without_an_outage_applies_at_once():
    source = Source()
    source.follower.step()
    source.answers = [[("b", None)]]
    source.follower.step()
    assert source.updates[-1] == {"a": 1}


def test_step_raises_when_the_history_is_gone():
    source = Source()
    source.follower.step()
    source.answers = [HistoryGone("gone")]
    with pytest.raises(HistoryGone):
        source.follower.step()


def test_wait_ends_with_the_grace_period_of_lapsed_objects():
    """A target that left in an outage is removed after the grace period.

    With a watch that outlasted the grace period it still got requests 3.4 s
    later.
    """
    source = Source()
    source.follower.step()
    have_outage(source)
    source.objects = {"a": 1}
    source.follower.step()
    source.clock.now += 0.5
    source.answers = [[]]
    source.follower.step()
    assert 1.4 < source.waits[-1][1] < 1.7


def test_watch_without_changes_continues_from_the_same_revision():
    """A store that missed a change must not make the follower skip it.

    Such a store answers a watch without changes, at its newest revision.
    Continuing from the old revision brings the missed change, or an error
    that the history is gone.
    """
    source = Source()
    source.follower.step()
    source.answers = [[], [("b", 5)], []]
    for _ in range(3):
        source.follower.step()
    assert [revision for revision, _ in source.waits] == [10, 10, 11]


IN_SYNC = _follower.StoreState.IN_SYNC
SUSPECT = _follower.StoreState.SUSPECT
LOST = _follower.StoreState.LOST


@pytest.mark.parametrize(
    ("state", "unanswered_s", "after_failure", "ends_outage"),
    [
        (IN_SYNC, 0.0, SUSPECT, False),
        (IN_SYNC, 2.6, LOST, False),
        (SUSPECT, 0.9, SUSPECT, False),
        (SUSPECT, 1.0, LOST, True),
        (LOST, 0.0, LOST, True),
        (LOST, 9.0, LOST, True),
    ],
)
def test_states_of_the_store(state, unanswered_s, after_failure, ends_outage):
    assert _follower.state_after_failure(state, unanswered_s) is after_failure
    assert _follower.ends_outage(state, unanswered_s) is ends_outage


def cut_off_watch(source, *, after_s, error=errors.PlatformError):
    """Let a watch fail after it has waited for a time."""

    def fail(revision, wait_s):
        source.clock.now += after_s
        raise error("no answer")

    source.follower.wait_for_changes = fail
    with pytest.raises(errors.PlatformError) as caught:
        source.follower.step()
    source.follower._record_failure(caught.value)


# DRAIN: a cut of a watch counted as an outage, also one just after its wait.
@pytest.mark.parametrize("after_s", [1.4, 2.01, 2.5])
def test_watch_that_is_cut_off_does_not_keep_a_removed_target(after_s):
    source = Source()
    source.follower.step()
    for _ in range(3):
        cut_off_watch(source, after_s=after_s)
        source.clock.now += 0.1
        source.follower.step()
    source.objects = {"a": 1}
    cut_off_watch(source, after_s=after_s)
    source.clock.now += 0.1
    source.follower.step()
    assert source.updates[-1] == {"a": 1}


def test_store_that_was_silent_for_a_watch_was_lost():
    source = Source()
    source.follower.step()
    cut_off_watch(source, after_s=2.6, error=errors.PlatformTimeoutError)
    source.objects = {"a": 1}
    source.clock.now += 0.1
    source.follower.step()
    assert source.updates[-1] == {"a": 1, "b": 2}


def have_outage_of(source, seconds):
    """Let the store be silent for some time, then list its objects again."""
    source.follower._record_failure(errors.PlatformError("down"))
    source.clock.now += seconds
    source.follower.step()


# DRAIN: each outage renewed the time for which a removed target is kept.
def test_further_outages_do_not_renew_the_time_of_a_lapsed_object():
    source = Source()
    source.follower.step()
    source.objects = {"a": 1}
    have_outage_of(source, 3.0)
    answering_s = 0.0
    while "b" in source.updates[-1]:
        source.clock.now += 0.9
        answering_s += 0.9
        assert answering_s < 3.0
        source.answers = [[]]
        source.follower.step()
        have_outage_of(source, 1.1)


def test_lapsed_object_has_its_time_although_the_store_is_lost_meanwhile():
    """It can register again only while the store answers."""
    source = Source()
    source.follower.step()
    source.objects = {"a": 1}
    have_outage_of(source, 3.0)
    source.clock.now += 0.5
    source.answers = [[]]
    source.follower.step()
    have_outage_of(source, 8.0)
    source.clock.now += 1.0
    source.answers = [[]]
    source.follower.step()
    assert source.updates[-1] == {"a": 1, "b": 2}
    source.answers = [[("b", 5)]]
    source.follower.step()
    source.clock.now += 5.0
    source.answers = [[]]
    source.follower.step()
    assert source.updates[-1] == {"a": 1, "b": 5}


def test_object_that_lapses_in_a_later_outage_has_the_whole_time():
    source = Source()
    source.objects = {"a": 1, "b": 2, "c": 3}
    source.follower.step()
    source.objects = {"a": 1, "c": 3}
    have_outage_of(source, 3.0)
    source.clock.now += 1.5
    source.answers = [[]]
    source.follower.step()
    source.objects = {"a": 1}
    have_outage_of(source, 2.0)
    source.clock.now += 1.0
    source.answers = [[]]
    source.follower.step()
    assert source.updates[-1] == {"a": 1, "c": 3}
    source.clock.now += 1.1
    source.answers = [[]]
    source.follower.step()
    assert source.updates[-1] == {"a": 1}


# DRAIN: one connection that fell silent counted as an outage of the store.
@pytest.mark.parametrize(
    ("answered_s_ago", "kept"), [(0.3, False), (2.0, True)]
)
def test_silent_watch_is_no_outage_while_other_calls_are_answered(
    answered_s_ago, kept
):
    source = Source()
    source.follower.step()
    source.answered_at = source.clock.now + 2.6 - answered_s_ago
    cut_off_watch(source, after_s=2.6, error=errors.PlatformTimeoutError)
    source.objects = {"a": 1}
    source.clock.now += 0.1
    source.follower.step()
    assert ("b" in source.updates[-1]) == kept
