"""Types of the settings files."""

import enum

import msgspec

from zinniadyke.platform import Host
from zinniadyke.settings._agent import AgentSettings
from zinniadyke.settings._entry import EntrySettings


class Section(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of the sections."""


class LogLevel(enum.Enum):
    """Least severity that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogSettings(Section):
    """Structured logs, one JSON object a line on standard output."""

    level: LogLevel = LogLevel.INFO


class StatsdSettings(Section):
    """Where metrics go, by UDP."""

    host: str = "127.0.0.1"
    port: int = 8125
    prefix: str = "zinniadyke"


class PlatformSettings(Section):
    """The platform's object API."""

    url: str


class FakePlatformSettings(Section):
    """The stand-in of the platform."""

    address: str
    hosts: list[Host] = []


class FakeBlob(Section):
    """Seeded bytes at the stand-in of the origin."""

    name: str
    size_mib: int
    seed: int
    chunk_kib: int = 1024


class FakeOriginSettings(Section):
    """The stand-in of the origin.

    Attributes
    ----------
    mib_s
        Rate of its link, in MiB/s; 0 for no limit.
    """

    address: str
    mib_s: float = 0.0
    blobs: list[FakeBlob] = []


class FakeEngineSettings(Section):
    """The stand-in of an engine."""

    address: str
    checks_fencing: bool = True
    seconds_per_word: float = 0.002


class FakeServiceSettings(Section):
    """The stand-in of a plain service."""

    address: str


class FakeSettings(Section):
    """Stand-ins; each process runs the one that its command names."""

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
