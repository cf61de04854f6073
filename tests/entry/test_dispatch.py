import types

import pytest

from zinniadyke.entry import _crash_guard
from zinniadyke.entry import _dispatch
from zinniadyke import errors
from zinniadyke import requests


def test_request_that_ran_is_not_said_to_be_refused_for_its_prompt(
    monkeypatch,
):
    """Its prompt is found to crash engines while it runs."""
    guard = _crash_guard.CrashGuard()
    link = types.SimpleNamespace(
        host=types.SimpleNamespace(name="h"),
        status=types.SimpleNamespace(incarnation="i"),
    )
    acquired = []
    pool = types.SimpleNamespace(
        crash_guard=guard,
        retry_budget=requests.RetryBudget(unused_since=float("-inf")),
        acquire=lambda call, excluded: acquired.append(call) or (link, "m/1"),
        release=lambda link: None,
    )
    call = types.SimpleNamespace(
        request_id="r",
        workspace="w",
        suspects=frozenset(["bad"]),
        idempotent=True,
        time_left_s=lambda: 5.0,
    )

    def run_attempt(call, pool, attempt):
        guard.ledger.refuse("bad", 30.0)
        raise errors.RequestError(code=errors.ResultCode.OUTCOME_UNKNOWN)

    monkeypatch.setattr(_dispatch, "_run_attempt", run_attempt)
    with pytest.raises(errors.RequestError) as caught:
        _dispatch.dispatch(call, pool)
    assert caught.value.code is errors.ResultCode.OUTCOME_UNKNOWN
    assert len(acquired) == 1
    with pytest.raises(errors.RequestError) as caught:
        _dispatch.dispatch(call, pool)
    assert caught.value.code is errors.ResultCode.PROMPT_REFUSED
    assert len(acquired) == 1
