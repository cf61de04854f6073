"""The load that targets state in their answers."""

import logging

from tests.gateway import deployment as deploy
from zinniadyke.gateway import _target_state


def test_fourth_figure_does_not_drop_the_load(caplog, monkeypatch):
    """The header was ignored unless it had three figures."""
    factors = []
    record_slowness = _target_state.TargetState.record_slowness

    def record(state, factor):
        factors.append(factor)
        record_slowness(state, factor)

    monkeypatch.setattr(_target_state.TargetState, "record_slowness", record)
    loads = ["2,1,4,250", "3,0,4,high", "x,0,4,125", "x,0,4,0"]

    def answer(exchange):
        exchange.answer(
            200, b"done", X_Zinniadyke_Server_Load=loads[len(seen)]
        )

    with deploy.deployment(answer) as system:
        (state,) = system.gateway.target_table.states.values()
        seen = []
        with caplog.at_level(logging.WARNING):
            for number in range(len(loads)):
                assert (
                    system.ask(
                        "/open/x", X_Zinniadyke_Request_Id=f"q{number}"
                    )[0]
                    == 200
                )
                seen.append((state.reported_requests, factors[-1]))
    assert seen == [(3, 2.5), (3, 2.5), (3, 1.25), (3, 1.25)]
    # Targets state the load in each answer.
    unusable = [r for r in caplog.records if "figures" in r.message]
    assert [r.value for r in unusable] == ["3,0,4,high"]
