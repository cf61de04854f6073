"""Targets that report how slow their host is and how much memory is free."""

import collections
import logging
import math
import random
import types

import msgspec
import pytest

from tests import clock
from tests.gateway import deployment as deploy
from zinniadyke.bench import _placement_fleet
from zinniadyke import directory
from zinniadyke.gateway import _placement
from zinniadyke.gateway import _predicted_time
from zinniadyke.gateway import _request_work
from zinniadyke.gateway import _slowness
from zinniadyke.gateway import _target_state
from zinniadyke import platform
from zinniadyke import reports
from zinniadyke.sidecar import _load_reporter

ENGINE = _placement_fleet.PROFILE
WORK = _request_work.RequestWork(
    engine=ENGINE,
    prompt_tokens=1000,
    answer_tokens=100,
    max_answer_tokens=400,
)


@pytest.fixture(autouse=True)
def fake_clock(monkeypatch):
    manual_clock = clock.Clock()
    monkeypatch.setattr(
        _target_state.time, "monotonic", manual_clock.monotonic
    )
    return manual_clock


def make_state(name, load=0, slowness=None):
    state = _target_state.TargetState(
        target=directory.Target(
            id=name,
            service="s",
            address=f"{name}:1",
            zone="z",
            slots=ENGINE.slots,
            leaving=False,
            born_ms=1,
            weights={},
        )
    )
    state.record_load(load, 0)
    if slowness is not None:
        state.record_slowness(slowness)
    return state


def choose(states, work=WORK, has_free_slot=lambda state: True):
    return _placement.choose_target(
        states,
        lambda zone: 0.0,
        has_free_slot,
        mean_response_s=1.0,
        work=work,
    )


def count_choices(states, work=WORK, times=200):
    return collections.Counter(
        choose(states, work).target.id for _ in range(times)
    )


def test_absurd_figures_are_ignored_and_logged_once(caplog):
    """A broken host that names 0 would attract or repel all requests."""
    state = make_state("t")
    with caplog.at_level(logging.WARNING):
        for factor in (0.0, -1.0, 101.0, math.inf, math.nan):
            state.record_slowness(factor)
        assert state.slowness is None
        other = make_state("u", slowness=1.0)
        for _ in range(2):
            other.record_memory(9, 8, layers=1)
    assert other.kv_free_tokens is None
    assert [(r.message, r.figure) for r in caplog.records] == [
        ("absurd figure ignored", "slowness"),
        ("absurd figure ignored", "kv_used"),
    ]


def test_slowness_follows_figures_and_decays_without_news(fake_clock):
    """A host that was slow must get requests again without a probe."""
    state = make_state("t", slowness=2.5)
    assert state.slowness.factor(fake_clock.now) == 2.5
    fake_clock.now += 10 * _slowness.SMOOTHING_S
    state.record_slowness(1.5)
    assert abs(state.slowness.factor(fake_clock.now) - 1.5) < 0.01
    fake_clock.now += 8 * _slowness.DECAY_S
    assert state.slowness.factor(fake_clock.now) < 1.01
    was_slow, usual = state, make_state("u", slowness=1.0)
    for each in (was_slow, usual):
        each.record_load(4, 0)
    assert count_choices([was_slow, usual])["t"] > 50


def test_slow_host_is_avoided_until_the_others_are_full():
    slow, usual = make_state("t1", 0, 2.5), make_state("t2", 6, 1.0)
    assert count_choices([slow, usual]) == {"t2": 200}
    assert choose([slow, usual], has_free_slot=lambda s: s is slow) is slow


def test_full_target_is_no_choice_for_a_retry():
    """Retries need no free slot, so only the predicted wait counts there."""
    full, usual = make_state("t1", 16, 1.0), make_state("t2", 4, 1.0)
    assert count_choices([full, usual]) == {"t2": 200}


def test_prompts_are_not_sent_one_after_another_to_one_target():
    """An idle target in a report draws the prompts of the whole interval."""
    busy, idle = make_state("t1", 6, 1.0), make_state("t2", 0, 1.0)
    idle.record_sent(0)
    idle.in_flight = 1
    assert count_choices([busy, idle]) == {"t1": 200}


def test_target_with_too_little_memory_gets_a_request_only_if_no_other_may():
    """An engine that runs out of KV cache crashes or preempts requests."""
    small, slow = make_state("t1", 0, 1.0), make_state("t2", 12, 9.0)
    small.record_memory(100, 8 * 1399 + 100, layers=8)
    assert small.kv_free_tokens == 1399
    assert count_choices([small, slow]) == {"t2": 200}
    assert choose([small, slow], has_free_slot=lambda s: s is small) is small
    short = msgspec.structs.replace(WORK, max_answer_tokens=300)
    assert count_choices([small, slow], short) == {"t1": 200}


def test_requests_sent_since_the_report_use_memory(fake_clock):
    """Reports are up to 0.2 s old: entries would send a burst to one."""
    state = make_state("t", slowness=1.0)
    state.record_memory(0, 5000, layers=1)
    state.record_sent(3000)
    assert state.kv_free_tokens == 2000
    fake_clock.now += 0.1
    state.record_memory(0, 5000, layers=1)
    assert state.kv_free_tokens == 2000
    fake_clock.now += 0.3
    state.record_memory(3000, 5000, layers=1)
    assert state.kv_free_tokens == 2000
    fake_clock.now += 5.0
    assert state.kv_free_tokens is None


@pytest.mark.parametrize("total", [0, None])
def test_unknown_memory_has_no_effect(total):
    """Engines that do not state it would get no requests at all."""
    state = make_state("t1", slowness=1.0)
    if total is not None:
        state.record_memory(70, total, layers=8)
    state.record_sent(10**9)
    assert state.kv_free_tokens is None
    assert state.host.kv_memory is None


def test_memory_has_no_effect_without_a_slowness():
    """Engines without the fourth figure must be placed as before."""
    full, usual = make_state("t1", 0), make_state("t2", 1)
    full.record_memory(5000, 5000, layers=1)
    full.record_sent(10**9)
    assert full.host is None
    assert count_choices([full, usual]) == {"t1": 200}
    full.record_slowness(1.0)
    full.record_memory(5000, 5000, layers=1)
    assert count_choices([full, usual]) == {"t2": 200}


@pytest.mark.parametrize("work", [WORK, _request_work.UNKNOWN_WORK])
def test_targets_without_figures_are_placed_as_before(work):
    """Deployments without figures must not change with this feature."""

    def choose_before(states):
        return min(states, key=lambda s: s.load + random.random() * 0.5)

    rng = random.Random(1)
    for seed in range(100):
        states = [make_state(f"t{n}", rng.randrange(4)) for n in range(9)]
        random.seed(seed)
        expected = choose_before(states)
        random.seed(seed)
        assert choose(states, work) is expected


def test_mixed_fleet_uses_targets_with_and_without_figures():
    """Either kind would stay idle if their costs were not comparable."""
    silent, known = make_state("t1", 8), make_state("t2", 8, 1.0)
    chosen = count_choices([silent, known])
    assert min(chosen["t1"], chosen["t2"]) > 50
    slow = make_state("t3", 8, 2.5)
    assert count_choices([silent, slow]) == {"t1": 200}
    overfull = make_state("t4", 16)
    assert count_choices([overfull, known]) == {"t2": 200}


def test_slow_plain_service_gets_fewer_requests():
    """Plain services have no profile; their count is weighted."""
    plain = _request_work.UNKNOWN_WORK
    slow, usual = make_state("t1", 4, 2.5), make_state("t2", 8, 1.0)
    assert count_choices([slow, usual], plain) == {"t2": 200}
    assert count_choices([slow, make_state("t2", 13, 1.0)], plain) == {
        "t1": 200
    }


def test_prediction_follows_the_engine_arithmetic():
    """A wrong unit would make all hosts look equally fast."""
    engine = msgspec.structs.replace(
        ENGINE,
        step_s=0.01,
        step_per_request_s=0.001,
        step_per_context_token_s=0.0,
        prefill_tokens_per_s=10_000.0,
        prefill_pair_s=2e-8,
        steps_per_pass=5,
    )
    work = msgspec.structs.replace(WORK, engine=engine)
    # Half a pass and a pass of 5 x 14 ms, prefill of 100 + 10 ms.
    predict = _predicted_time.predict_first_event(work)
    assert predict(4, 0, 2.0) == pytest.approx(2 * (0.035 + 0.07 + 0.11))
    # A second pass, as prompts exceed 5 x 2,048 tokens.
    long = msgspec.structs.replace(work, prompt_tokens=10_241)
    predict = _predicted_time.predict_first_event(long)
    prefill_s = 1.0241 + 1e-8 * 10_241**2
    assert predict(0, 0, 1.0) == pytest.approx(0.1 + prefill_s)


def test_figures_of_an_agents_report_are_recorded():
    """Without them, targets that few requests reach would stay unknown."""
    with deploy.deployment(lambda exchange: None) as system:
        target = system.targets[0]
        report = reports.LoadReport(
            address=target.address,
            born_ms=0,
            running=0,
            waiting=2,
            entries=1,
            switching=False,
            switch_in_ms=None,
            weights={},
            named={},
            pace=2.5,
            kv_used=30,
            kv_total=100,
        )
        listener = system.gateway.load_listener
        (state,) = listener.target_table.by_address[target.address]
        for _ in range(2):
            listener._apply_report(report)
        assert state.slowness.smoothed == 2.5
        assert state.kv_free_tokens == 70
        assert state.host.pending == 2


def test_report_with_pace_alone_leaves_the_choices_as_they_are(monkeypatch):
    """Engines without the fourth figure also report pace and memory."""
    client = platform.ModelServerClient(address="127.0.0.1:1")
    body = b'{"pace": 9.0, "kv_used": 90, "kv_total": 100}'
    headers = {"x-zinniadyke-server-load": "0,0,16"}
    answer = types.SimpleNamespace(data=body, headers=headers)
    monkeypatch.setattr(client, "_call", lambda *args, **kwargs: answer)
    with deploy.deployment(lambda exchange: None) as system:
        listener = system.gateway.load_listener
        address = system.targets[0].address
        (state,) = listener.target_table.by_address[address]
        reporter = _load_reporter.LoadReporter(
            ip="127.0.0.1",
            port=deploy.free_port(),
            region="r",
            address=address,
            target=client,
            view=directory.View(),
        )
        sent = []
        reporter.broadcast = sent.append
        try:
            reporter.publish_report(client.report(1))
            answer.data = body.replace(b"90", b"10")
            reporter.publish_report(client.report(1))
            assert len(sent) == 1
            listener._apply_report(sent[-1])
            assert state.host is None
            other = make_state("other", 1)
            assert count_choices([state, other]) == {state.target.id: 200}
            # Once the figure was seen, pace counts where it is missing.
            headers["x-zinniadyke-server-load"] = "0,0,16,100"
            client.report(1)
            headers["x-zinniadyke-server-load"] = "0,0,16"
            reporter.publish_report(client.report(1))
            listener._apply_report(sent[-1])
            assert state.slowness.smoothed == 9.0
            assert state.kv_free_tokens is not None
            assert count_choices([state, other]) == {"other": 200}
        finally:
            reporter.sock.close()


def test_means_replace_token_counts_that_a_request_does_not_state():
    """Requests without headers would count as free of work and memory."""
    work = _request_work.estimate_work(platform.TokenCounts(), ENGINE)
    assert work.prompt_tokens == ENGINE.mean_prompt_tokens
    assert work.kv_tokens == (
        ENGINE.mean_prompt_tokens + ENGINE.mean_answer_tokens
    )
    counts = platform.TokenCounts(prompt=10, max_answer=20)
    work = _request_work.estimate_work(counts, ENGINE)
    assert (work.answer_tokens, work.kv_tokens) == (20, 30)


def test_small_changes_of_figures_cause_no_additional_reports():
    """Figures change many times a second, for hundreds of subscribers."""
    for pace, rounded in (
        (1.04, 1.0),
        (2.46, 2.5),
        (0.01, 0.01),
        (None, None),
    ):
        assert _load_reporter._round_pace(pace) == rounded
    for used, rounded in ((0, 0), (1, 10), (639, 640), (649, 649), (700, 700)):
        assert _load_reporter._round_kv(used, 649) == rounded
    assert _load_reporter._round_kv(0, 0) == 0
