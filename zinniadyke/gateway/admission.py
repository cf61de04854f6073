"""Admission and placement of requests, for the gateway and benchmarks."""

from zinniadyke.gateway._admission import Admission
from zinniadyke.gateway._call import Call
from zinniadyke.gateway._caller_wait import CallerWaitEstimator
from zinniadyke.gateway._placement import zone_penalties
from zinniadyke.gateway._request_work import RequestWork
from zinniadyke.gateway._reservation import slot_part
from zinniadyke.gateway._target_state import TargetState
from zinniadyke.gateway._target_table import TargetTable

__all__ = [
    "Admission",
    "Call",
    "RequestWork",
    "TargetState",
    "TargetTable",
    "CallerWaitEstimator",
    "slot_part",
    "zone_penalties",
]
