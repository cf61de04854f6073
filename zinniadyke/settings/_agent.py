"""Settings of an agent."""

import msgspec


class AgentSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the agent on one target host.

    Attributes
    ----------
    peer
        ``ip:port`` of the socket for other processes.
    engine
        Base URL of the engine or service on the same host.
    staging_mib
        Memory for staged weights, in MiB.
    upload_mib_s, download_mib_s
        Rate limit of bulk transfers per direction, in MiB/s; 0 for none.
    burst_kib
        Bulk bytes that may be sent or received at once after a pause, in KiB.
    grace_s
        Time that requests in flight have to end at shutdown, in seconds.
    drain_s
        Time that requests in flight have to end before a swap of weights is
        postponed, in seconds.
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
