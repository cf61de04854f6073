"""Configuration, targets and desired weights read from the platform."""

from zinniadyke.directory._configuration import CallerLimits
from zinniadyke.directory._configuration import index_routes
from zinniadyke.directory._configuration import ServingConfiguration
from zinniadyke.directory._configuration import Workspace
from zinniadyke.directory._evacuations import Evacuations
from zinniadyke.directory._follower import Follower
from zinniadyke.directory._route import Backend
from zinniadyke.directory._route import RetryMode
from zinniadyke.directory._route import Route
from zinniadyke.directory._service import EngineProfile
from zinniadyke.directory._service import Origin
from zinniadyke.directory._service import Service
from zinniadyke.directory._signal import Signal
from zinniadyke.directory._target import DesiredWeights
from zinniadyke.directory._target import Target
from zinniadyke.directory._view import View

__all__ = [
    "Backend",
    "CallerLimits",
    "DesiredWeights",
    "EngineProfile",
    "Evacuations",
    "Follower",
    "Origin",
    "RetryMode",
    "Route",
    "Service",
    "ServingConfiguration",
    "Signal",
    "Target",
    "View",
    "Workspace",
    "index_routes",
]
