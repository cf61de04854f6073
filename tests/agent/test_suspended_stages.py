"""Tests of the stages kept after a rollout no longer wants them."""

from zinniadyke.agent import _suspended_stages
from zinniadyke import weights


def test_stage_is_resumed_only_for_the_same_digest():
    suspended = _suspended_stages.SuspendedStages()
    stage = weights.StagingArea(digest="d")
    suspended.keep("m/1", stage)
    assert stage.closed
    assert suspended.take("m/1", "d") is stage
    assert not stage.closed
    suspended.keep("m/1", stage)
    assert suspended.take("m/1", "other") is None
    assert suspended.take("m/1", "d") is None


def test_only_stages_older_than_the_age_are_freed():
    suspended = _suspended_stages.SuspendedStages()
    stage = weights.StagingArea(digest="d")
    stage.chunks[0] = b"bytes"
    suspended.keep("m/1", stage)
    suspended.free_older_than(60.0)
    assert stage.chunks
    suspended.free_older_than(0.0)
    assert not stage.chunks
    assert suspended.take("m/1", "d") is None
