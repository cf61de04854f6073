"""State that all processes share: configuration, hosts, leases, rollouts."""

from zinniadyke.control._accept import accept
from zinniadyke.control._accept import Accepted
from zinniadyke.control._accept import change_outcome
from zinniadyke.control._accept import load_configuration
from zinniadyke.control._change import Change
from zinniadyke.control._change import plan_changes
from zinniadyke.control._head import Head
from zinniadyke.control._head import HEAD_KEY
from zinniadyke.control._head import read_head
from zinniadyke.control._lease import first_fence
from zinniadyke.control._lease import Lease
from zinniadyke.control._lease import lease_fence
from zinniadyke.control._node import Node
from zinniadyke.control._permits import Permit
from zinniadyke.control._permits import PermitAllocator
from zinniadyke.control._permits import Permits
from zinniadyke.control._permits import read_permit
from zinniadyke.control._progress import read_progress
from zinniadyke.control._progress import RolloutProgress
from zinniadyke.control._rollouts import lease_key
from zinniadyke.control._rollouts import RolloutController
from zinniadyke.control._store import ConfigStore

__all__ = [
    "HEAD_KEY",
    "Accepted",
    "Change",
    "ConfigStore",
    "Head",
    "Lease",
    "Node",
    "Permit",
    "PermitAllocator",
    "Permits",
    "RolloutController",
    "RolloutProgress",
    "accept",
    "change_outcome",
    "first_fence",
    "lease_fence",
    "lease_key",
    "load_configuration",
    "plan_changes",
    "read_head",
    "read_permit",
    "read_progress",
]
