import random

import pytest

from tests import clock
from zinniadyke import reports
from zinniadyke import requests
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
            send=lambda answer, entry: self.answers.append((entry, answer)),
            address="10.0.0.9:80",
        )

    def ask(
        self,
        entry,
        limit_per_s=1.0,
        address="10.0.0.9:80",
        born_ms=5,
        **more,
    ):
        self.lender.handle_request(
            reports.TokenRequest(
                address=address,
                born_ms=born_ms,
                limit_per_s=limit_per_s,
                **more,
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


COLD_PER_S = 32
LIFETIME_MS = 250


def ask_cold(lender, entry, **more):
    return lender.ask(
        entry,
        **{
            "limit_per_s": requests.ColdLimit(
                per_s=COLD_PER_S, shares_per_s=0.0, restart_s=0.0
            ).rate_per_s,
            "lifetime_ms": LIFETIME_MS,
            "asked_ms": 5000,
            **more,
        },
    )


def test_tokens_of_a_cold_target_never_serve_more_than_its_rate(fake_clock):
    """Each token is used at the latest moment, after quiet times too."""
    lender = Lender()
    rng = random.Random(3)
    sent = []
    ask_cold(lender, ENTRIES[0])
    fake_clock.now += 1.25
    for number in range(4000):
        fake_clock.now += 0.5 if number % 500 == 0 else 0.002
        lender.answers.clear()
        ask_cold(lender, ENTRIES[number % 3])
        for _, answer in lender.answers:
            if answer.granted:
                late_s = rng.choice((0.0, answer.lifetime_ms / 1000))
                sent.append(fake_clock.now + late_s)
    most = max(sum(at <= t < at + 1.0 for t in sent) for at in sent)
    assert most <= COLD_PER_S
    # The stated rate of tokens is just under four fifths of the limit.
    assert len(sent) >= 0.95 * 0.8 * COLD_PER_S * 8.0


def test_lowest_rate_of_the_last_second_holds_for_cold_targets(fake_clock):
    """An entry that does not know yet that the target is cold."""
    lender = Lender()
    ask_cold(lender, ENTRIES[0])
    lender.ask(ENTRIES[1], limit_per_s=500.0)
    (limit,) = lender.lender.limits.values()
    assert limit.limit_per_s < COLD_PER_S
    assert limit.lifetime_s == LIFETIME_MS / 1000
    fake_clock.now += 1.1
    lender.ask(ENTRIES[1], limit_per_s=500.0)
    assert (limit.limit_per_s, limit.lifetime_s) == (500.0, 1.0)


def test_answer_counts_the_lifetime_from_when_the_token_fell_due(fake_clock):
    lender = Lender()
    # An earlier start of the agent may have lent some, and shares may be used.
    assert not ask_cold(lender, ENTRIES[0]).granted
    fake_clock.now += 1.27
    answer = ask_cold(lender, ENTRIES[0], asked_ms=7000)
    assert answer.granted
    assert 200 <= answer.lifetime_ms < LIFETIME_MS
    assert not ask_cold(lender, ENTRIES[1], asked_ms=9000).granted
    fake_clock.now += 0.04
    lender.lend_due()
    entry, late = lender.answers[-1]
    assert entry == ENTRIES[1] and late.granted
    assert late.lent_ms == pytest.approx(9040, abs=1)


def test_earlier_start_of_a_cold_target_gets_no_tokens(fake_clock):
    """Its id may be that of the present start, which would run requests."""
    lender = Lender()
    fake_clock.now += 2.0
    assert ask_cold(lender, ENTRIES[0], born_ms=5).granted
    # The token of before may be used at the present start.
    assert not ask_cold(lender, ENTRIES[1], born_ms=6).granted
    fake_clock.now += 0.1
    assert not ask_cold(lender, ENTRIES[0], born_ms=5).granted
    assert ask_cold(lender, ENTRIES[1], born_ms=6).granted


@pytest.mark.parametrize("lifetime_ms", [0, -1])
def test_request_without_a_lifetime_is_ignored(fake_clock, lifetime_ms):
    lender = Lender()
    with pytest.raises(IndexError):
        lender.ask(ENTRIES[0], lifetime_ms=lifetime_ms)
