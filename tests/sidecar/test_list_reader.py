from tests import clock
from zinniadyke import directory
from zinniadyke import errors
from zinniadyke.sidecar import _list_reader


class Source:
    """Store of one kind that can be down, read through a reader."""

    def __init__(self):
        self.clock = clock.Clock()
        self.objects = {"a": 1}
        self.down = False
        self.lists = 0
        self.updates = []
        self.reader = _list_reader.ListReader(
            follower=directory.Follower(
                name="kind",
                list_all=self.list_all,
                wait_for_changes=None,
                history_gone=errors.PlatformError,
                on_update=self.updates.append,
                keep_lapsed=True,
                clock=self.clock.monotonic,
            ),
            clock=self.clock.monotonic,
        )

    def list_all(self):
        self.lists += 1
        if self.down:
            raise errors.PlatformError("down")
        return dict(self.objects), 1


def test_list_is_read_again_only_when_too_old():
    source = Source()
    source.reader.refresh(2.0)
    source.clock.now += 1.5
    source.reader.refresh(2.0)
    assert source.lists == 1
    source.reader.refresh(1.0)
    assert source.lists == 2


def test_store_that_does_not_answer_is_asked_again_after_a_pause():
    source = Source()
    source.down = True
    source.reader.refresh(2.0)
    source.reader.refresh(2.0)
    assert source.lists == 1
    assert source.updates == []
    source.clock.now += _list_reader.RETRY_PAUSE_S
    source.down = False
    source.reader.refresh(2.0)
    assert source.updates == [{"a": 1}]
    assert source.reader.age_s == 0.0


def test_registration_that_lapsed_with_the_store_away_is_kept_for_a_while():
    source = Source()
    source.reader.refresh(2.0)
    source.down = True
    source.clock.now += 3.0
    source.reader.refresh(2.0)
    source.down, source.objects = False, {}
    source.clock.now += 1.0
    source.reader.refresh(2.0)
    assert source.updates[-1] == {"a": 1}
    source.clock.now += 2.5
    source.reader.refresh(2.0)
    assert source.updates[-1] == {}
