"""Struct types of the settings files."""

import enum

import msgspec

from zinniadyke.platform import Host
from zinniadyke.settings._agent import AgentSettings
from zinniadyke.settings._entry import EntrySettings


class Section(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base class of the sections of a settings file."""


class LogLevel(enum.Enum):
    """Lowest severity that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogSettings(Section):
    """Logs, written as one JSON object per line to standard output."""

    level: LogLevel = LogLevel.INFO


class StatsdSettings(Section):
    """Statsd server that metrics are sent to by UDP."""

    host: str = "127.0.0.1"
    port: int = 8125
    prefix: str = "zinniadyke"


class PlatformSettings(Section):
    """The platform's object API."""

    url: str


class FakePlatformSettings(Section):
    """The fake platform."""

    address: str
    hosts: list[Host] = []


class FakeBlob(Section):
    """A file at the fake origin, with bytes generated from a seed."""

    name: str
    size_mib: int
    seed: int
    chunk_kib: int = 1024


class FakeOriginSettings(Section):
    """The fake origin.

    Attributes
    ----------
    mib_s
        Bandwidth of its link, in MiB/s; 0 for no limit.
    """

    address: str
    mib_s: float = 0.0
    blobs: list[FakeBlob] = []


class FakeEngineSettings(Section):
    """The fake engine."""

    address: str
    checks_fencing: bool = True
    seconds_per_word: float = 0.002


class FakeServiceSettings(Section):
    """The fake plain service."""

    address: str


class FakeSettings(Section):
    """Fakes; each process runs the one that its command names."""

    platform: FakePlatformSettings | None = None
    origin: FakeOriginSettings | None = None
    engine: FakeEngineSettings | None = None
    service: FakeServiceSettings | None = None


class Settings(Section):
    """A whole settings file."""

    entry: EntrySettings | None = None
    agent: AgentSettings | None = None
    platform: PlatformSettings | None = None
    log: LogSettings = LogSettings()
    statsd: StatsdSettings | None = None
    fake: FakeSettings | None = None
