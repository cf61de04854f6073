"""Settings of a process on the users' platform."""

from zinniadyke.settings import _schema


class HostSection(_schema.Section):
    """The host that the process runs on.

    Attributes
    ----------
    regions
        Region of each availability zone.
    ports
        First and last port for talk between processes.
    link_mbps
        Rate of the host's link, in Mbit/s.
    """

    name: str
    zone: str
    region: str
    ip: str
    regions: list["ZoneRegion"] = []
    ports: tuple[int, int] = (7700, 7715)
    link_mbps: float = 0.0


class ZoneRegion(_schema.Section):
    """The region of an availability zone."""

    zone: str
    region: str


class ListenSection(_schema.Section):
    """Where an entry listens, as ``ip:port``."""

    requests: str = ""
    ready: str = ""


class TargetSection(_schema.Section):
    """The target beside an agent."""

    address: str = ""
    service: str = ""


class StoreSection(_schema.Section):
    """The platform's metadata store, as ``ip:port``."""

    address: str


class MetricsSection(_schema.Section):
    """Where metrics are served, as ``ip:port``; empty for nowhere."""

    address: str = ""


class BoundsSection(_schema.Section):
    """Bounds that the operators set.

    Attributes
    ----------
    version_ms
        No request begins on older weights after this time.
    grace_s
        Time from SIGTERM to SIGKILL.
    retry_ratio, retry_extra
        Second attempts that all entries may send in the operators' window:
        ratio times the requests of the service, plus the extra.
    """

    version_ms: float = 8000.0
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_extra: float = 0.0


class PlatformProcessSettings(_schema.Section):
    """Settings of an entry or agent on the users' platform."""

    host: HostSection
    store: StoreSection
    listen: ListenSection = ListenSection()
    target: TargetSection = TargetSection()
    bounds: BoundsSection = BoundsSection()
    metrics: MetricsSection = MetricsSection()
    log: _schema.LogSettings = _schema.LogSettings()
