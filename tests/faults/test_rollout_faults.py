"""Every fault at every step of a rollout, and pairs that hurt most."""

import eventlet
import pytest

from tests.faults import rollout_cell
from tests.faults import rollout_faults

PARALLEL = 9


def run_row(fault, steps) -> dict[str, list[str]]:
    """Run a fault's cells side by side; return what was violated."""
    pool = eventlet.GreenPool(PARALLEL)
    tasks = {
        step: pool.spawn(rollout_cell.run_cell, step, fault) for step in steps
    }
    found = {step: task.wait() for step, task in tasks.items()}
    return {step: faults for step, faults in found.items() if faults}


@pytest.mark.parametrize("fault", rollout_faults.SINGLE)
def test_fault_at_every_step(fault):
    assert run_row(fault, rollout_cell.STEPS) == {}


@pytest.mark.parametrize(("first", "second"), rollout_faults.PAIRS)
def test_pair_of_faults(first, second):
    steps = ["first chunk", "verify", "load"]
    fault = rollout_faults.both(first, second)
    assert run_row(fault, steps) == {}
