"""Rate limits, fair queueing, retry budgets and tokens."""

import eventlet
import pytest

from tests import clock as clocks
from zinniadyke.agent import _workspace_tokens
from zinniadyke import errors
from zinniadyke import objects
from zinniadyke import requests
from zinniadyke.requests import _retry_budget
from zinniadyke.requests import _workspace_limiter


@pytest.fixture
def clock(monkeypatch):
    fake_clock = clocks.Clock()
    monkeypatch.setattr(_workspace_limiter, "time", fake_clock)
    return fake_clock


def count_admitted(limiter, limit, entries, tries=100):
    count = 0
    for _ in range(tries):
        try:
            limiter.admit(limit, entries)
            limiter.release()
            count += 1
        except errors.RequestError as error:
            assert error.code is errors.ResultCode.RATE_LIMITED
            assert error.retry_after_s > 0
    return count


def test_rate_limit_holds_across_all_entries(clock):
    limiters = [requests.WorkspaceLimiter() for _ in range(4)]
    limit = objects.Limit(rate=40)
    assert sum(count_admitted(x, limit, 4) for x in limiters) == 40
    clock.now += 0.5
    assert sum(count_admitted(x, limit, 4) for x in limiters) == 20


def test_concurrency_limit_frees_ended_requests():
    limiter = requests.WorkspaceLimiter()
    limit = objects.Limit(concurrency=4)
    limiter.admit(limit, 2)
    limiter.admit(limit, 2)
    with pytest.raises(errors.RequestError):
        limiter.admit(limit, 2)
    limiter.release()
    limiter.admit(limit, 2)


def grant_order(queue, waiting):
    """Queue requests and return the workspaces in the order of grants."""
    order = []

    def wait(name, share, priority):
        queue.wait(name, share, priority, 1000, 10)
        order.append(name)

    for name, share, priority, count in waiting:
        for _ in range(count):
            eventlet.spawn(wait, name, share, priority)
    eventlet.sleep(0)
    while queue.grant():
        eventlet.sleep(0)
    return order


def test_grants_follow_shares_and_flood_does_not_delay_others():
    queue = requests.FairQueue()
    order = grant_order(queue, [("flood", 1, 1, 100), ("calm", 1, 1, 5)])
    assert max(i for i, n in enumerate(order) if n == "calm") < 12
    order = grant_order(queue, [("big", 3, 1, 60), ("small", 1, 1, 60)])
    assert 28 <= order[:40].count("big") <= 32


def test_high_priority_goes_first_without_starving_low():
    queue = requests.FairQueue()
    order = grant_order(queue, [("low", 1, 2, 50), ("high", 1, 0, 160)])
    first = order[:51]
    assert first.count("high") >= 45
    assert first.count("low") >= 2


def test_full_queue_and_expired_wait_raise_errors():
    queue = requests.FairQueue()
    task = eventlet.spawn(queue.wait, "w", 1, 1, 1, 0.05)
    eventlet.sleep(0)
    with pytest.raises(errors.RequestError) as caught:
        queue.wait("w", 1, 1, 1, 10)
    assert caught.value.code is errors.ResultCode.QUEUE_FULL
    assert caught.value.retry_after_s > 0
    with pytest.raises(errors.RequestError) as caught:
        task.wait()
    assert caught.value.code is errors.ResultCode.QUEUE_TIMEOUT
    assert len(queue) == 0


def test_full_flow_does_not_block_another_priority():
    queue = requests.FairQueue()
    low = eventlet.spawn(queue.wait, "w", 1, 1, 1, 10)
    high = eventlet.spawn(queue.wait, "w", 1, 0, 1, 10)
    eventlet.sleep(0)
    assert queue.grant() and queue.grant()
    low.wait(), high.wait()


def test_grant_is_pending_until_request_resumes():
    queue = requests.FairQueue()
    tasks = [
        eventlet.spawn(queue.wait, name, 1, 1, 9, wait_s)
        for name, wait_s in (("a", 10), ("b", 0.01))
    ]
    eventlet.sleep(0)
    assert queue.grant()
    assert queue.pending_grants == 1
    tasks[0].wait()
    assert queue.pending_grants == 0
    with pytest.raises(errors.RequestError):
        tasks[1].wait()
    assert (queue.pending_grants, len(queue)) == (0, 0)


def test_retry_budget_is_limited():
    budget = requests.RetryBudget(unused_since=float("-inf"))
    assert sum(budget.withdraw() for _ in range(100)) == 10
    for _ in range(11):
        budget.deposit()
    assert budget.withdraw()
    assert not budget.withdraw()


def test_retry_budget_has_its_stock_again_after_a_window_without_retries(
    clock, monkeypatch
):
    monkeypatch.setattr(_retry_budget, "time", clock)
    budget = requests.RetryBudget(stock=3.0, window_s=10.0)
    assert not budget.withdraw()
    clock.now += 10.0
    assert sum(budget.withdraw() for _ in range(9)) == 3
    clock.now += 9.9
    assert not budget.withdraw()
    clock.now += 0.1
    assert sum(budget.withdraw() for _ in range(9)) == 3


def test_only_the_token_matches_its_hash():
    token = requests.new_token("hafez")
    stored = requests.hash_token(token)
    assert token not in stored
    assert requests.token_matches(token, ["x:y", stored])
    assert not requests.token_matches(token + "x", [stored])
    assert not requests.token_matches("", [stored])
    assert requests.token_workspace(token) == "hafez"
    assert requests.token_workspace("zd.hafez") == ""


@pytest.mark.parametrize("rate", [0.5, 5.0, 20.0])
def test_low_rate_holds_across_many_entries(clock, monkeypatch, rate):
    """A part of less than one request lets no entry admit one by itself."""
    entries = 35
    monkeypatch.setattr(_workspace_tokens, "time", clock)
    tokens = _workspace_tokens.WorkspaceTokens()
    limiters = [requests.WorkspaceLimiter() for _ in range(entries)]
    limit = objects.Limit(rate=rate)
    admitted = 0
    for _ in range(40):
        for limiter in limiters:
            try:
                limiter.admit(
                    limit, entries, lambda r: tokens.take("intake", r)
                )
                limiter.release()
                admitted += 1
            except errors.RequestError as error:
                assert 0 < error.retry_after_s <= 1 / rate + 1e-9
        clock.now += 0.1
    # Four seconds at the rate, and what one second allows at the start.
    assert rate * 4 * 0.9 <= admitted <= rate * 5 + 1


def test_entry_keeps_its_part_of_a_low_rate_without_an_agent(clock):
    limiter = requests.WorkspaceLimiter()
    limit = objects.Limit(rate=1)
    assert count_admitted(limiter, limit, 4) == 1
    clock.now += 3.9
    assert count_admitted(limiter, limit, 4) == 0
    clock.now += 0.2
    assert count_admitted(limiter, limit, 4) == 1


def test_workspaces_whose_requests_are_counted_are_bounded():
    tokens = _workspace_tokens.WorkspaceTokens()
    for number in range(_workspace_tokens.MAX_WORKSPACES + 9):
        assert tokens.take(f"w{number}", 1.0) == 0
    assert len(tokens.schedules) == _workspace_tokens.MAX_WORKSPACES


def test_low_concurrency_holds_across_many_entries():
    entries = 35
    limit = objects.Limit(concurrency=4)
    admitted = 0
    for limiter in [requests.WorkspaceLimiter() for _ in range(entries)]:
        try:
            limiter.admit(limit, entries)
            admitted += 1
        except errors.RequestError:
            pass
    assert admitted <= 4
