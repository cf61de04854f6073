"""Benchmarks that check their results against regression bounds."""

from zinniadyke.bench._bound import Bound
from zinniadyke.bench._bound import describe_unmet_bounds
from zinniadyke.bench._ceiling_runs import run_ceilings
from zinniadyke.bench._overload import OverloadResult
from zinniadyke.bench._overload import run_overload
from zinniadyke.bench._overload_fleet import OverloadOptions
from zinniadyke.bench._placement import PlacementOptions
from zinniadyke.bench._placement import PlacementResult
from zinniadyke.bench._placement import run_placement
from zinniadyke.bench._placement_classes import METHODS
from zinniadyke.bench._placement_classes import run_classes
from zinniadyke.bench._requests import OpenLoopGenerator
from zinniadyke.bench._requests import RequestsOptions
from zinniadyke.bench._requests import RequestsResult
from zinniadyke.bench._requests import run_requests
from zinniadyke.bench._restart import plot_restart
from zinniadyke.bench._restart import restart_table
from zinniadyke.bench._restart import RestartOptions
from zinniadyke.bench._restart import RestartResult
from zinniadyke.bench._restart import run_restart
from zinniadyke.bench._rollout import fluid_bound_s
from zinniadyke.bench._rollout import RolloutOptions
from zinniadyke.bench._rollout import RolloutResult
from zinniadyke.bench._rollout import run_rollout
from zinniadyke.bench._shared_hosts import run_shared_hosts
from zinniadyke.bench._shared_hosts import SHARED_HOSTS
from zinniadyke.bench._strategies import STRATEGIES

__all__ = [
    "METHODS",
    "SHARED_HOSTS",
    "STRATEGIES",
    "Bound",
    "OpenLoopGenerator",
    "OverloadOptions",
    "OverloadResult",
    "PlacementOptions",
    "PlacementResult",
    "RequestsOptions",
    "RequestsResult",
    "RestartOptions",
    "RestartResult",
    "RolloutOptions",
    "RolloutResult",
    "describe_unmet_bounds",
    "fluid_bound_s",
    "plot_restart",
    "restart_table",
    "run_ceilings",
    "run_classes",
    "run_overload",
    "run_placement",
    "run_requests",
    "run_restart",
    "run_rollout",
    "run_shared_hosts",
]
