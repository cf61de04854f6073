import eventlet

from zinniadyke.weights import _origin_window


class Reads:
    """Reads of an origin that fails while ``failing`` is set."""

    def __init__(self, monkeypatch) -> None:
        monkeypatch.setattr(_origin_window, "PAUSE_S", 0.01)
        self.window = _origin_window.OriginWindow()
        self.active = self.most = self.failures = 0
        self.failing = False

    def read(self) -> None:
        while True:
            with self.window:
                self.active += 1
                self.most = max(self.most, self.active)
                eventlet.sleep(0.001)
                self.active -= 1
                if not self.failing:
                    self.window.note_success()
                    return
                self.failures += 1
                self.window.note_failure()

    def run(self, count: int) -> eventlet.GreenPile:
        pile = eventlet.GreenPile(count)
        for _ in range(count):
            pile.spawn(self.read)
        return pile


def test_reads_in_progress_grow_with_each_success(monkeypatch):
    reads = Reads(monkeypatch)
    list(reads.run(100))
    assert reads.window.limit == _origin_window.MAX_READS
    assert 8 < reads.most <= _origin_window.MAX_READS
    list(reads.run(200))
    assert reads.most == _origin_window.MAX_READS


def test_a_failing_origin_is_read_one_by_one_until_it_is_back(monkeypatch):
    reads = Reads(monkeypatch)
    list(reads.run(100))
    reads.failing = True
    pile = reads.run(100)
    while reads.failures < _origin_window.MAX_READS + 1:
        eventlet.sleep(0.001)
    reads.most = 0
    while reads.failures < _origin_window.MAX_READS + 3:
        eventlet.sleep(0.001)
    assert reads.most == 1
    reads.failing = False
    list(pile)
    assert reads.window.limit == _origin_window.MAX_READS
    assert reads.window.places.balance == reads.window.limit
