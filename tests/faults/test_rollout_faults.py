"""Every fault at every step of a rollout, and selected pairs of faults."""

import eventlet
import pytest

from tests.faults import rollout_cell
from tests.faults import rollout_faults
from zinniadyke.control import _rollouts

CONCURRENT_CELLS = 5


def run_row(fault, steps, **options) -> dict[str, list[str]]:
    """Run a fault's cells concurrently; return the violations by step."""
    pool = eventlet.GreenPool(CONCURRENT_CELLS)
    tasks = {
        step: pool.spawn(rollout_cell.run_cell, step, fault, **options)
        for step in steps
    }
    found = {step: task.wait() for step, task in tasks.items()}
    return {
        step: violations for step, violations in found.items() if violations
    }


@pytest.mark.parametrize("fault", rollout_faults.SINGLE)
def test_fault_at_every_step(fault):
    assert run_row(fault, rollout_cell.STEPS) == {}


@pytest.mark.parametrize(("first", "second"), rollout_faults.PAIRS)
def test_pair_of_faults(first, second):
    steps = ["first chunk", "verify", "load"]
    fault = rollout_faults.combine(first, second)
    copies = rollout_cell.MAX_ORIGIN_COPIES_TWO_FAULTS
    assert run_row(fault, steps, max_origin_copies=copies) == {}


def test_rollout_right_after_another_keeps_the_floor(monkeypatch):
    """The second version is staged before the slow controller ticks again."""
    monkeypatch.setattr(_rollouts, "TICK_S", 3.0)
    monkeypatch.setattr(_rollouts, "IDLE_TICK_S", 3.0)
    assert rollout_cell.run_cell("resolve", lambda cell: None) == []
