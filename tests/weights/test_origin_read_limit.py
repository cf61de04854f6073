import eventlet

from zinniadyke.weights import _origin_read_limit


class Reads:
    """Reads of an origin that fails while ``failing`` is true."""

    def __init__(self, monkeypatch) -> None:
        monkeypatch.setattr(_origin_read_limit, "INITIAL_BACKOFF_S", 0.01)
        self.read_limit = _origin_read_limit.OriginReadLimit()
        self.active = self.max_active = self.failures = 0
        self.failing = False

    def read(self) -> None:
        while True:
            with self.read_limit:
                self.active += 1
                self.max_active = max(self.max_active, self.active)
                eventlet.sleep(0.001)
                self.active -= 1
                if not self.failing:
                    self.read_limit.record_success()
                    return
                self.failures += 1
                self.read_limit.record_failure()

    def run(self, count: int) -> eventlet.GreenPile:
        pile = eventlet.GreenPile(count)
        for _ in range(count):
            pile.spawn(self.read)
        return pile


def test_concurrent_reads_grow_with_each_success(monkeypatch):
    reads = Reads(monkeypatch)
    list(reads.run(100))
    assert reads.read_limit.limit == _origin_read_limit.MAX_CONCURRENT_READS
    assert 8 < reads.max_active <= _origin_read_limit.MAX_CONCURRENT_READS
    list(reads.run(200))
    assert reads.max_active == _origin_read_limit.MAX_CONCURRENT_READS


def test_failing_origin_gets_one_read_at_a_time_until_recovery(monkeypatch):
    reads = Reads(monkeypatch)
    list(reads.run(100))
    reads.failing = True
    pile = reads.run(100)
    while reads.failures < _origin_read_limit.MAX_CONCURRENT_READS + 1:
        eventlet.sleep(0.001)
    reads.max_active = 0
    while reads.failures < _origin_read_limit.MAX_CONCURRENT_READS + 3:
        eventlet.sleep(0.001)
    assert reads.max_active == 1
    reads.failing = False
    list(pile)
    assert reads.read_limit.limit == _origin_read_limit.MAX_CONCURRENT_READS
    assert reads.read_limit.permits.balance == reads.read_limit.limit
