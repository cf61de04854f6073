"""Settings of a gateway or sidecar on the users' platform."""

import typing

import msgspec

from zinniadyke.settings import _schema


class HostSection(_schema.Section):
    """The host that the process runs on.

    Attributes
    ----------
    regions
        Region of each availability zone.
    ports
        First and last port for connections between processes.
    link_mbps
        Bandwidth of the host's link, in Mbit/s.
    memory_mb
        Memory that a process on the host may use, in MB; 0 if unknown.
    """

    name: str
    zone: str
    region: str
    ip: str
    regions: list["ZoneRegion"] = []
    ports: tuple[int, int] = (7700, 7715)
    link_mbps: float = 0.0
    memory_mb: float = 0.0


class ZoneRegion(_schema.Section):
    """The region of an availability zone."""

    zone: str
    region: str


class ListenSection(_schema.Section):
    """Addresses that an entry listens on, as ``ip:port``."""

    requests: str = ""
    ready: str = ""


class TargetSection(_schema.Section):
    """The target on the agent's host."""

    address: str = ""
    service: str = ""


class StoreSection(_schema.Section):
    """The platform's metadata store, as ``ip:port``."""

    address: str


class MetricsSection(_schema.Section):
    """Metrics served over HTTP.

    Attributes
    ----------
    address
        ``ip:port`` to listen on; empty to disable.
    max_series
        Number of series that one metric may have. Beyond it, new labels
        count together as ``other``.
    """

    address: str = ""
    max_series: typing.Annotated[int, msgspec.Meta(ge=1)] = 300


class BoundsSection(_schema.Section):
    """Limits that the operators set.

    Attributes
    ----------
    version_ms
        Time after a new version is named until no request may start on older
        weights, in milliseconds.
    drain_ms
        Time after a target is known to leave until no request may reach it,
        in milliseconds.
    stable_window_ms
        Time after the end of a disruption until the operators' bounds hold
        again, in milliseconds.
    grace_s
        Time from SIGTERM to SIGKILL, in seconds.
    retry_ratio, retry_extra, retry_window_s
        Retry budget of all entries together, in any ``retry_window_s``
        seconds: ``retry_ratio`` times the requests of the service, plus
        ``retry_extra``.
    evacuate_ms
        Time after a zone's evacuation until no request may reach its
        targets, in milliseconds; 0 if zones are not evacuated.
    cold_overage, cold_slack
        Requests that a cold target may get in one second from all entries:
        ``cold_overage`` times the rate of its service, plus ``cold_slack``;
        0 if targets are never cold.
    """

    version_ms: float = 8000.0
    drain_ms: float = 2000.0
    stable_window_ms: float = 3000.0
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_extra: float = 0.0
    retry_window_s: float = 10.0
    evacuate_ms: float = 0.0
    cold_overage: float = 0.0
    cold_slack: float = 0.0


class PlatformProcessSettings(_schema.Section):
    """Settings of an entry or agent on the users' platform."""

    host: HostSection
    store: StoreSection
    listen: ListenSection = ListenSection()
    target: TargetSection = TargetSection()
    bounds: BoundsSection = BoundsSection()
    metrics: MetricsSection = MetricsSection()
    log: _schema.LogSettings = _schema.LogSettings()
