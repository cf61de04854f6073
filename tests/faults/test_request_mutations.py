"""With a mechanism switched off, the matrix's checks must turn red."""

from tests.faults import request_cell
from tests.faults import request_faults
from zinniadyke.agent import _admission_gate
from zinniadyke.agent import _engine_watch
from zinniadyke.entry import _attempt
from zinniadyke import errors
from zinniadyke import requests


def test_without_deduplication_a_doubled_request_runs_twice(monkeypatch):
    def admit(self, key, version):
        self.running[key] = None

    monkeypatch.setattr(_admission_gate.AdmissionGate, "admit", admit)
    found = request_cell.run_cell("accept", request_faults.run_doubled)
    assert any("ran 2 times" in line for line in found)


def test_without_closing_a_late_request_runs_as_well(monkeypatch):
    monkeypatch.setattr(
        _admission_gate.AdmissionGate,
        "close_attempt",
        lambda self, key: key in self.running,
    )
    found = request_cell.run_cell("accept", request_faults.run_late)
    assert any("ran 2 times" in line for line in found)


def test_without_version_check_an_answer_is_of_another_version(monkeypatch):
    admit = _admission_gate.AdmissionGate.admit

    def unchecked(self, key, version):
        admit(self, key, self.version)

    monkeypatch.setattr(_admission_gate.AdmissionGate, "admit", unchecked)
    monkeypatch.setattr(
        _engine_watch.EngineWatch, "verify_version", lambda self, version: True
    )
    found = request_cell.run_cell("dispatch", request_faults.version_swapped)
    assert any("wrong" in line for line in found)


def test_without_request_id_check_another_callers_frames_come_in(
    monkeypatch,
):
    monkeypatch.setattr(
        _attempt.Attempt, "_is_for_this_attempt", lambda self, answer: True
    )
    found = request_cell.run_cell(
        "first frame", request_faults.frames_of_another
    )
    assert found


def test_without_claims_a_retry_elsewhere_runs_again(monkeypatch):
    monkeypatch.setattr(
        requests.ClaimStore, "claim_or_replay", lambda *args: None
    )
    found = request_cell.run_cell(
        "dispatch", request_faults.caller_retries_elsewhere
    )
    assert any("the key ran" in line for line in found)


def test_saying_not_run_without_proof_is_seen(monkeypatch):
    monkeypatch.setattr(
        _attempt.Attempt,
        "_close_after_timeout",
        lambda self: errors.RequestError(
            code=errors.ResultCode.ATTEMPT_CLOSED
        ),
    )
    found = request_cell.run_cell("accept", request_faults.first_answers_lost)
    assert any("ran 2 times" in line or "told" in line for line in found)
