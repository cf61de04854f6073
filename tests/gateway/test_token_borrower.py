import pytest

from tests import clock
from tests.gateway import test_target_state
from zinniadyke.gateway import _token_borrower
from zinniadyke.gateway import _token_holder
from zinniadyke import reports

LIMIT_PER_S = 2.0
ENTRIES = 5


class Table:
    """A target table of one target, with or without agents."""

    def __init__(self, state, agents):
        self.by_address = {state.target.address: [state]}
        self.agents = agents

    def has_engine(self, service):
        return False

    def agent_hosts(self):
        return self.agents


class Borrower:
    """A borrower with the messages that it has sent."""

    def __init__(self, agents=frozenset({"10.0.0.1", "10.0.0.2"})):
        self.sent = []
        self.state = test_target_state.make_state()
        self.state.record_limit(LIMIT_PER_S)
        self.borrower = _token_borrower.TokenBorrower(
            target_table=Table(self.state, agents),
            count_entries=lambda: ENTRIES,
            on_answer=lambda service: None,
        )
        self.borrower.send = lambda message, host_ip: self.sent.append(host_ip)

    def want(self):
        self.borrower.request_token(self.state)

    def answer(self, granted, next_in_ms=0):
        self.borrower.handle_answer(
            reports.TokenAnswer(
                address=self.state.target.address,
                born_ms=0,
                granted=granted,
                next_in_ms=next_in_ms,
            ),
            "10.0.0.1",
        )


@pytest.fixture
def fake_clock(monkeypatch):
    made = clock.Clock()
    for module in (_token_borrower, _token_holder):
        monkeypatch.setattr(module.time, "monotonic", made.monotonic)
        monkeypatch.setattr(module.uptime, "now_s", made.now_s)
    return made


def test_one_request_at_a_time_is_on_its_way(fake_clock):
    one = Borrower()
    one.want()
    one.want()
    assert len(one.sent) == 1
    fake_clock.now += 0.11
    one.want()
    assert len(one.sent) == 2


def test_lent_token_serves_one_request_and_expires(fake_clock):
    one = Borrower()
    one.want()
    assert not one.state.within_limit
    one.answer(granted=True)
    assert one.state.within_limit
    one.state.tokens.take()
    assert not one.state.within_limit
    one.answer(granted=True)
    fake_clock.now += 1.1
    assert not one.state.within_limit


def test_entry_that_must_wait_renews_its_request_now_and_then(fake_clock):
    one = Borrower()
    one.want()
    one.answer(granted=False, next_in_ms=3000)
    assert one.state.tokens.next_in_s == pytest.approx(3.0)
    for _ in range(20):
        fake_clock.now += 0.1
        asked = len(one.sent)
        one.want()
        if len(one.sent) > asked:
            one.answer(granted=False, next_in_ms=3000)
    assert 3 <= len(one.sent) <= 5


def test_entry_without_an_answer_uses_its_share(fake_clock):
    one = Borrower()
    sent = 0
    for _ in range(1000):
        fake_clock.now += 0.1
        one.want()
        if one.state.within_limit:
            one.state.tokens.take()
            sent += 1
    assert sent == pytest.approx(100 * LIMIT_PER_S / ENTRIES, abs=2)
    one.want()
    one.answer(granted=False, next_in_ms=500)
    assert one.state.tokens.share is None


def test_entry_without_agents_uses_its_share_at_once(fake_clock):
    one = Borrower(agents=frozenset())
    one.want()
    assert not one.sent
    assert one.state.tokens.share is not None


def test_entries_ask_the_same_agent_for_a_target_without_one(fake_clock):
    asked = set()
    for _ in range(4):
        one = Borrower(agents={f"10.0.0.{n}" for n in range(9)})
        one.want()
        asked.update(one.sent)
    assert len(asked) == 1


def test_answer_for_another_start_of_the_target_is_ignored(fake_clock):
    one = Borrower()
    one.want()
    one.borrower.handle_answer(
        reports.TokenAnswer(
            address=one.state.target.address,
            born_ms=77,
            granted=True,
            next_in_ms=0,
        ),
        "10.0.0.1",
    )
    assert not one.state.within_limit
