"""With a mechanism switched off, the matrix's checks must turn red."""

import pytest

from tests.faults import rollout_cell
from tests.faults import rollout_faults
from zinniadyke.agent import _fence
from zinniadyke.agent import _order_executor
from zinniadyke.control import _permits
from zinniadyke.weights import _stage

SHORT_LIMIT_S = 8.0


def no_fault(cell) -> None:
    """Cause nothing."""


@pytest.fixture
def no_digest_check(monkeypatch):
    monkeypatch.setattr(_stage, "sha256", lambda data: "any")
    monkeypatch.setattr(
        _stage.StagingArea, "_expected_digest", lambda self, index: "any"
    )


def test_without_digest_check_corrupt_bytes_stop_at_the_read_back(
    monkeypatch, no_digest_check
):
    monkeypatch.setattr(rollout_cell, "LIMIT_S", SHORT_LIMIT_S)
    monkeypatch.setattr(rollout_cell.Cell.wait, "__defaults__", (8.0,))
    found = rollout_cell.run_cell("plan", rollout_faults.corrupt_from_peer)
    assert any(line.startswith("serving") for line in found)


def test_without_digest_check_and_read_back_answers_are_wrong(
    monkeypatch, no_digest_check
):
    monkeypatch.setattr(
        _order_executor.OrderExecutor, "_read_back", lambda *args: None
    )
    monkeypatch.setattr(rollout_cell.Cell.wait, "__defaults__", (8.0,))
    monkeypatch.setattr(
        "zinniadyke.agent._engine_watch.EngineWatch.check",
        lambda self: None,
    )
    monkeypatch.setattr(
        "zinniadyke.agent._engine_watch.EngineWatch.verify_version",
        lambda self, version: True,
    )
    found = rollout_cell.run_cell("plan", rollout_faults.corrupt_from_peer)
    assert any(line.startswith("wrong") for line in found)


def test_without_permits_the_floor_is_broken(monkeypatch):
    monkeypatch.setattr(_fence.Fence, "check_permit", lambda *args: None)

    def grant_all(self, *, wanted, fence, **rest):
        return _permits.Permits(fence=fence, out=wanted)

    monkeypatch.setattr(_permits.PermitAllocator, "reconcile", grant_all)
    found = rollout_cell.run_cell("plan", no_fault)
    assert any(line.startswith("only") for line in found)
