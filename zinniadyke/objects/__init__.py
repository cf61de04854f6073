"""Kinds of objects that operators declare, and their configuration."""

from zinniadyke.objects._configuration import check_references
from zinniadyke.objects._configuration import Configuration
from zinniadyke.objects._key import ObjectKey
from zinniadyke.objects._limit import Limit
from zinniadyke.objects._model import Model
from zinniadyke.objects._registry import convert
from zinniadyke.objects._registry import Kind
from zinniadyke.objects._registry import KINDS
from zinniadyke.objects._rollout import Favour
from zinniadyke.objects._rollout import Rollout
from zinniadyke.objects._rollout import RolloutState
from zinniadyke.objects._route import Route
from zinniadyke.objects._service import PlatformDownPolicy
from zinniadyke.objects._service import Service
from zinniadyke.objects._service import ServiceKind
from zinniadyke.objects._target import Target
from zinniadyke.objects._version import Version
from zinniadyke.objects._workspace import Workspace

__all__ = [
    "KINDS",
    "Configuration",
    "Favour",
    "Kind",
    "Limit",
    "Model",
    "ObjectKey",
    "PlatformDownPolicy",
    "Rollout",
    "RolloutState",
    "Route",
    "Service",
    "ServiceKind",
    "Target",
    "Version",
    "Workspace",
    "check_references",
    "convert",
]
