"""What an entry does with what it knows of a cold target."""

import logging

import pytest

from tests import clock
from tests.gateway import deployment as deploy
from tests.gateway import test_target_state
from zinniadyke import directory
from zinniadyke.gateway import _cold_source
from zinniadyke.gateway import _load_listener
from zinniadyke.gateway import _target_connection
from zinniadyke.gateway import _target_table
from zinniadyke.gateway import _token_borrower
from zinniadyke.gateway import _token_holder
from zinniadyke import reports
from zinniadyke import requests
from zinniadyke.sidecar import _token_lender

AGENT = _cold_source.ColdSource.AGENT
ANSWER = _cold_source.ColdSource.ANSWER
RESTART_S = 4.0
COLD_PER_S = 32
LIMIT = requests.make_cold_limit(
    cold_per_s=COLD_PER_S, cold_s=RESTART_S, overage=1.5, slack=5.0
)


@pytest.fixture
def fake_clock(monkeypatch):
    made = clock.Clock()
    monkeypatch.setattr(_token_holder.time, "monotonic", made.monotonic)
    monkeypatch.setattr(_token_holder.uptime, "now_s", made.now_s)
    return made


def make_cold_state():
    state = test_target_state.make_state()
    state.set_cold_limit(LIMIT)
    state.record_cold(5.0, AGENT)
    return state


@pytest.mark.parametrize("entries", [1, 5, 14, 21, 35, 630])
def test_shares_and_lent_tokens_together_keep_the_stated_bound(entries):
    shares = [
        requests.cold_share(LIMIT, entries, 0.0, float("inf"))
        for _ in range(entries)
    ]
    sent = [
        step / 100
        for step in range(500)
        for share in shares
        if share.take(step / 100)
    ]
    most = max(sum(at <= t < at + 1.0 for t in sent) for at in set(sent))
    assert LIMIT.per_s + most <= 1.5 * COLD_PER_S + 5


def test_lower_of_both_limits_is_in_force(fake_clock):
    state = make_cold_state()
    assert state.tokens.limit_per_s == pytest.approx(25.6, rel=0.01)
    state.record_limit(2.0)
    assert (state.tokens.limit_per_s, state.tokens.cold) == (2.0, LIMIT)
    state.record_limit(40.0)
    assert state.tokens.limit_per_s == pytest.approx(25.6, rel=0.01)
    fake_clock.now += 5.1
    state.update_limit()
    assert (state.tokens.limit_per_s, state.tokens.cold) == (40.0, None)


def test_latest_end_of_all_sources_holds(fake_clock, caplog):
    state = make_cold_state()
    with caplog.at_level(logging.INFO):
        state.record_cold(9.0, ANSWER)
        state.record_cold(0.0, AGENT)
        assert state.limited_as_cold
        state.record_cold(1.0, ANSWER)
        fake_clock.now += 1.1
        state.update_limit()
    assert not state.limited_as_cold
    assert [r.message for r in caplog.records] == ["target is no longer cold"]


def test_target_that_is_cold_again_while_tokens_are_out(fake_clock):
    """Tokens of the first time must not be used beside those of the second."""
    states = [make_cold_state() for _ in range(3)]
    lender = _token_lender.TokenLender(
        send=lambda answer, sender: states[sender[1]].tokens.record_answer(
            answer.granted,
            answer.next_in_ms / 1000,
            lifetime_s=answer.lifetime_ms / 1000,
            lent_ms=answer.lent_ms,
        ),
        address="1.2.3.4:5",
    )
    fake_clock.now += 2.0
    sent = []
    for step in range(4000):
        fake_clock.now += 0.002
        if step % 150 == 0:
            # Warm for a moment, then cold again.
            for state in states:
                state.record_cold(0.0, AGENT)
                assert state.tokens is None
                state.record_cold(5.0, AGENT)
        state = states[step % 3]
        # Saves tokens up, and uses them together.
        while state.tokens.count and step % 50 < 3:
            state.tokens.take()
            sent.append(fake_clock.now)
        lender.handle_request(
            reports.TokenRequest(
                address="1.2.3.4:5",
                born_ms=0,
                limit_per_s=state.tokens.limit_per_s,
                lifetime_ms=250,
                asked_ms=int(fake_clock.now * 1000),
            ),
            ("e", step % 3),
        )
    assert len(sent) > 50
    most = max(sum(at <= t < at + 1.0 for t in sent) for at in sent)
    assert most <= COLD_PER_S


def test_tokens_and_answers_of_before_a_suspension_are_void(fake_clock):
    state = make_cold_state()
    state.tokens.record_asked()
    asked_ms = int(fake_clock.now * 1000)
    state.tokens.record_answer(True, 0.0, lifetime_s=0.25, lent_ms=asked_ms)
    assert state.within_limit
    fake_clock.now += 3.0
    assert not state.within_limit
    # Waited in the socket meanwhile.
    state.tokens.record_answer(True, 0.0, lifetime_s=0.25, lent_ms=asked_ms)
    assert not state.within_limit


@pytest.mark.parametrize("cold", [True, False])
def test_request_of_before_a_suspension_is_not_sent(monkeypatch, cold):
    """The entry wakes between choosing the target and sending."""
    spec = deploy.configuration(
        services=[
            {
                "name": "desk",
                "max_connections": 50,
                "cold_s": 60,
                "cold_per_s": COLD_PER_S,
            }
        ]
    )

    def answer(exchange):
        exchange.answer(200, b"done")

    slept_s = [0.0]
    now_s = _token_holder.uptime.now_s
    connect = _target_connection.TargetConnection.connect

    def connect_and_sleep(self, timeout_s):
        connect(self, timeout_s)
        slept_s[0] += 5.0

    with deploy.deployment(
        answer, spec=spec, cold_overage=1.5, cold_slack=5.0
    ) as system:
        (state,) = system.gateway.target_table.states.values()
        if cold:
            state.record_cold(60.0, ANSWER)
        assert system.ask("/open/x", X_Zinniadyke_Request_Id="q1")[0] == 200
        monkeypatch.setattr(
            _token_holder.uptime, "now_s", lambda: now_s() + slept_s[0]
        )
        monkeypatch.setattr(
            _target_connection.TargetConnection, "connect", connect_and_sleep
        )
        assert system.ask("/open/x", X_Zinniadyke_Request_Id="q2")[0] != 200
        assert len(system.targets[0].seen) == 1
        assert state.consecutive_failures == 0


def make_target(born_ms=5, cold_remaining_s=None, name="t"):
    return directory.Target(
        id=name,
        service="s",
        address="1.2.3.4:5",
        zone="z1",
        slots=4,
        leaving=False,
        born_ms=born_ms,
        weights={},
        cold_remaining_s=cold_remaining_s,
    )


@pytest.fixture
def table():
    view = directory.View()
    made = _target_table.TargetTable(
        view=view,
        version_bound_s=8.0,
        make_cold_limit=lambda service: LIMIT if service.cold_per_s else None,
    )
    view.set_configuration(
        directory.ServingConfiguration(
            version=1,
            routes={},
            services={
                "s": directory.Service(
                    name="s",
                    max_connections=9,
                    cold_s=RESTART_S,
                    cold_per_s=COLD_PER_S,
                )
            },
            limits=directory.CallerLimits(),
            workspaces=None,
        )
    )
    return made


def test_registered_time_counts_from_when_it_was_first_seen(fake_clock, table):
    """Heartbeats repeat the registration."""
    table.view.set_targets({"t": make_target(cold_remaining_s=3.0)})
    fake_clock.now += 2.0
    table.view.set_targets({"t": make_target(cold_remaining_s=3.0)})
    state = table.states["t"]
    assert state.cold_until == pytest.approx(fake_clock.now + 1.0)
    table.view.set_targets({"t": make_target(cold_remaining_s=2.5)})
    assert state.cold_until == pytest.approx(fake_clock.now + 2.5)


@pytest.mark.parametrize("name", ["t", "u"])
def test_restarted_target_is_cold_also_if_it_does_not_say(
    fake_clock, table, name
):
    table.view.set_targets({"t": make_target()})
    assert not table.states["t"].limited_as_cold
    table.view.set_targets({name: make_target(born_ms=9, name=name)})
    state = table.states[name]
    assert state.limited_as_cold
    assert state.cold_until == pytest.approx(fake_clock.now + RESTART_S)
    # It says later that it is not cold.
    table.view.set_targets(
        {name: make_target(born_ms=10, name=name, cold_remaining_s=0.0)}
    )
    assert not table.states[name].limited_as_cold


def test_restart_under_the_same_id_is_learned_from_the_agent(
    fake_clock, table, monkeypatch
):
    """Until the store tells, requests to the old start reach the new one."""
    table.view.set_targets({"t": make_target(born_ms=5)})
    listener = _load_listener.LoadListener(
        name="e",
        region="r1",
        ip="127.0.0.1",
        port=deploy.free_port(),
        view=table.view,
        target_table=table,
        on_report=lambda: None,
    )
    listener._apply_report(
        reports.LoadReport(
            address="1.2.3.4:5",
            born_ms=9,
            running=0,
            waiting=0,
            entries=1,
            switching=False,
            switch_in_ms=None,
            weights={},
            named={},
            cold_ms=2000,
        )
    )
    listener.sock.close()
    state = table.states["t"]
    assert state.limited_as_cold
    assert state.cold_until == pytest.approx(fake_clock.now + 2.0)


def test_target_whose_agent_is_silent_may_be_cold(fake_clock, table):
    table.view.set_targets({"t": make_target()})
    state = table.states["t"]
    state.agent_reported_at = fake_clock.now
    table.update_limits()
    assert state.tokens is None
    fake_clock.now += 1.0
    table.update_limits()
    assert state.limited_as_cold
    state.agent_reported_at = fake_clock.now
    fake_clock.now += 0.1
    table.update_limits()
    assert state.tokens is None


def test_wait_for_a_token_is_short_when_no_agent_answers():
    state = make_cold_state()
    asked = []

    class Table:
        def has_engine(self, service):
            return True

    borrower = _token_borrower.TokenBorrower(
        target_table=Table(), count_entries=lambda: 5, on_answer=lambda s: None
    )
    borrower.send = lambda message, host_ip: asked.append(message)
    started = _token_holder.time.monotonic()
    borrower.await_token(state)
    took_s = _token_holder.time.monotonic() - started
    assert _token_borrower.COLD_WAIT_S <= took_s < 0.3
    assert (asked[0].lifetime_ms, asked[0].wait_ms) == (250, 0)
