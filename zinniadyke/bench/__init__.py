"""Measured experiments with regression bounds."""

from zinniadyke.bench._rollout import RolloutOptions
from zinniadyke.bench._rollout import RolloutResult
from zinniadyke.bench._rollout import run_rollout
from zinniadyke.bench._strategies import STRATEGIES

__all__ = [
    "STRATEGIES",
    "RolloutOptions",
    "RolloutResult",
    "run_rollout",
]
