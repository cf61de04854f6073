import pytest

from tests import clock
from zinniadyke import reports
from zinniadyke.sidecar import _token_lender

ENTRIES = [("10.0.0.1", 7), ("10.0.0.2", 7), ("10.0.0.3", 7)]


@pytest.fixture
def fake_clock(monkeypatch):
    made = clock.Clock()
    monkeypatch.setattr(_token_lender.time, "monotonic", made.monotonic)
    return made


class Lender:
    """A lender with the answers that it has sent."""

    def __init__(self):
        self.answers = []
        self.lender = _token_lender.TokenLender(
            send=lambda answer, entry: self.answers.append((entry, answer))
        )

    def ask(self, entry, limit_per_s=1.0, address="10.0.0.9:80", born_ms=5):
        self.lender.handle_request(
            reports.TokenRequest(
                address=address, born_ms=born_ms, limit_per_s=limit_per_s
            ),
            entry,
        )
        return self.answers[-1][1]

    def lend_due(self):
        """Lend as the task does; return the entries that got a token."""
        count = len(self.answers)
        now = _token_lender.time.monotonic()
        for key, limit in self.lender.limits.items():
            self.lender._lend(key, limit, now)
        return [entry for entry, _ in self.answers[count:]]


def test_token_is_lent_at_once_and_the_next_ones_in_order(fake_clock):
    lender = Lender()
    assert lender.ask(ENTRIES[0]).granted
    second = lender.ask(ENTRIES[1])
    third = lender.ask(ENTRIES[2])
    assert (second.granted, second.next_in_ms) == (False, 1000)
    assert (third.granted, third.next_in_ms) == (False, 2000)
    # Asking again does not change the order.
    fake_clock.now += 0.19
    lender.ask(ENTRIES[2])
    lender.ask(ENTRIES[1])
    fake_clock.now += 0.19
    lender.ask(ENTRIES[2], limit_per_s=10.0)
    lender.ask(ENTRIES[1], limit_per_s=10.0)
    fake_clock.now += 0.1
    assert lender.lend_due() == [ENTRIES[1]]
    fake_clock.now += 0.09
    assert lender.lend_due() == [ENTRIES[2]]


def test_entry_that_stopped_asking_gets_no_token(fake_clock):
    lender = Lender()
    lender.ask(ENTRIES[0], limit_per_s=2.0)
    lender.ask(ENTRIES[1], limit_per_s=2.0)
    fake_clock.now += 0.4
    lender.ask(ENTRIES[2], limit_per_s=2.0)
    fake_clock.now += 0.1
    assert lender.lend_due() == [ENTRIES[2]]


def test_each_start_of_a_target_has_tokens_of_its_own(fake_clock):
    lender = Lender()
    assert lender.ask(ENTRIES[0]).granted
    assert not lender.ask(ENTRIES[0]).granted
    assert lender.ask(ENTRIES[0], born_ms=6).granted
    assert lender.ask(ENTRIES[0], address="10.0.0.8:80").granted


def test_limits_and_waiting_entries_are_bounded(fake_clock):
    lender = Lender()
    for number in range(2 * _token_lender.MAX_LIMITS):
        lender.ask(ENTRIES[0], address=f"10.0.0.9:{number}")
    assert len(lender.lender.limits) == _token_lender.MAX_LIMITS
    for number in range(2 * _token_lender.MAX_WAITING):
        lender.ask(("10.0.1.1", number))
    (waiting,) = {
        len(limit.waiting)
        for key, limit in lender.lender.limits.items()
        if key[0] == "10.0.0.9:80"
    }
    assert waiting <= _token_lender.MAX_WAITING


@pytest.mark.parametrize(
    "limit_per_s", [0.0, -1.0, float("nan"), float("inf")]
)
def test_limit_that_is_no_rate_is_ignored(fake_clock, limit_per_s):
    lender = Lender()
    with pytest.raises(IndexError):
        lender.ask(ENTRIES[0], limit_per_s=limit_per_s)
    assert not lender.lender.limits
