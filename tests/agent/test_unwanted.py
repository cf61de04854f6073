"""Stages that are kept for a while after a rollout."""

from zinniadyke.agent import _unwanted
from zinniadyke import weights


def test_a_stage_comes_back_only_for_the_same_digest():
    kept = _unwanted.UnwantedStages()
    stage = weights.StagingArea(digest="d")
    kept.keep("m/1", stage)
    assert stage.closed
    assert kept.take("m/1", "d") is stage
    assert not stage.closed
    kept.keep("m/1", stage)
    assert kept.take("m/1", "other") is None
    assert kept.take("m/1", "d") is None


def test_only_what_is_old_enough_is_freed():
    kept = _unwanted.UnwantedStages()
    stage = weights.StagingArea(digest="d")
    stage.chunks[0] = b"bytes"
    kept.keep("m/1", stage)
    kept.free(60.0)
    assert stage.chunks
    kept.free(0.0)
    assert not stage.chunks
    assert kept.take("m/1", "d") is None
