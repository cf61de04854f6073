"""The matrix must report violations if a safety mechanism is disabled."""

from tests.faults import request_cell
from tests.faults import request_faults
from zinniadyke.agent import _admission_gate
from zinniadyke.agent import _engine_watch
from zinniadyke.entry import _attempt
from zinniadyke import errors
from zinniadyke import requests


def test_duplicated_request_runs_twice_without_deduplication(monkeypatch):
    def admit(self, key, version):
        self.running[key] = None

    monkeypatch.setattr(_admission_gate.AdmissionGate, "admit", admit)
    violations = request_cell.run_cell("accept", request_faults.run_duplicated)
    assert any("ran 2 times" in line for line in violations)


def test_delayed_request_also_runs_without_close_attempt(monkeypatch):
    monkeypatch.setattr(
        _admission_gate.AdmissionGate,
        "close_attempt",
        lambda self, key: key in self.running,
    )
    violations = request_cell.run_cell("accept", request_faults.run_delayed)
    assert any("ran 2 times" in line for line in violations)


def test_answer_has_wrong_version_without_version_check(monkeypatch):
    admit = _admission_gate.AdmissionGate.admit

    def unchecked(self, key, version):
        admit(self, key, self.version)

    monkeypatch.setattr(_admission_gate.AdmissionGate, "admit", unchecked)
    monkeypatch.setattr(
        _engine_watch.EngineWatch, "verify_version", lambda self, version: True
    )
    violations = request_cell.run_cell(
        "dispatch", request_faults.version_changed
    )
    assert any("wrong" in line for line in violations)


def test_frames_of_another_request_are_accepted_without_id_check(
    monkeypatch,
):
    monkeypatch.setattr(
        _attempt.Attempt, "_is_for_this_attempt", lambda self, answer: True
    )
    violations = request_cell.run_cell(
        "first frame", request_faults.frames_of_another_request
    )
    assert violations


def test_retry_at_other_entry_runs_again_without_claims(monkeypatch):
    monkeypatch.setattr(
        requests.ClaimStore, "claim_or_replay", lambda *args: None
    )
    violations = request_cell.run_cell(
        "dispatch", request_faults.caller_retries_elsewhere
    )
    assert any("the key ran" in line for line in violations)


def test_unproven_not_run_answer_is_reported(monkeypatch):
    monkeypatch.setattr(
        _attempt.Attempt,
        "_close_after_timeout",
        lambda self: errors.RequestError(
            code=errors.ResultCode.ATTEMPT_CLOSED
        ),
    )
    violations = request_cell.run_cell(
        "accept", request_faults.first_answers_lost
    )
    assert any("ran 2 times" in line or "told" in line for line in violations)
