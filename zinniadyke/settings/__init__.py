"""Loads settings files into typed, validated structs."""

from zinniadyke.settings._agent import AgentSettings
from zinniadyke.settings._deployment import check_deployment
from zinniadyke.settings._entry import EntrySettings
from zinniadyke.settings._load import load
from zinniadyke.settings._platform_host import BoundsSection
from zinniadyke.settings._platform_host import HostSection
from zinniadyke.settings._platform_host import ListenSection
from zinniadyke.settings._platform_host import PlatformProcessSettings
from zinniadyke.settings._platform_host import StoreSection
from zinniadyke.settings._platform_host import TargetSection
from zinniadyke.settings._platform_host import ZoneRegion
from zinniadyke.settings._schema import FakeSettings
from zinniadyke.settings._schema import LogSettings
from zinniadyke.settings._schema import Settings
from zinniadyke.settings._schema import StatsdSettings

__all__ = [
    "AgentSettings",
    "BoundsSection",
    "EntrySettings",
    "FakeSettings",
    "HostSection",
    "ListenSection",
    "LogSettings",
    "PlatformProcessSettings",
    "Settings",
    "StatsdSettings",
    "StoreSection",
    "TargetSection",
    "ZoneRegion",
    "check_deployment",
    "load",
]
