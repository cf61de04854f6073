"""Settings of an agent."""

import msgspec


class AgentSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the agent on one target host.

    Attributes
    ----------
    peer
        ``ip:port`` of its peer socket.
    engine
        Base URL of the engine or service beside it.
    staging_mib
        Memory for staged weights, in MiB.
    upload_mib_s, download_mib_s
        Rates for bulk bytes per direction, in MiB/s; 0 for no limit.
    burst_kib
        Bulk bytes that may leave or come at once after a pause, in KiB.
    grace_s
        Time that work in progress has at shutdown, in seconds.
    drain_s
        Time that work in progress has before a swap is put off.
    """

    name: str
    zone: str
    region: str
    service: str
    peer: str
    engine: str
    seeds: list[str] = []
    staging_mib: int = 1024
    upload_mib_s: float = 0.0
    download_mib_s: float = 0.0
    burst_kib: int = 1024
    grace_s: float = 30.0
    drain_s: float = 60.0
