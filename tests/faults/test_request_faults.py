"""Every fault at every step of a request, and selected pairs of faults."""

import eventlet
import pytest

from tests.faults import request_cell
from tests.faults import request_faults

CONCURRENT_CELLS = 4


def run_row(fault) -> dict[str, list[str]]:
    """Run a fault's cells concurrently; return the violations by step."""
    pool = eventlet.GreenPool(CONCURRENT_CELLS)
    tasks = {
        step: pool.spawn(request_cell.run_cell, step, fault)
        for step in request_cell.STEPS
    }
    found = {step: task.wait() for step, task in tasks.items()}
    return {
        step: violations for step, violations in found.items() if violations
    }


@pytest.mark.parametrize("fault", request_faults.SINGLE)
def test_fault_at_every_step(fault):
    assert run_row(fault) == {}


@pytest.mark.parametrize(("first", "second"), request_faults.PAIRS)
def test_pair_of_faults(first, second):
    assert run_row(request_faults.combine(first, second)) == {}
