"""Settings of an entry."""

import msgspec


class EntrySettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the process on one entry host.

    Attributes
    ----------
    http
        ``ip:port`` for callers and operators.
    peer
        ``ip:port`` of the socket for other processes.
    admin_tokens
        Salted hashes of the fleet operators' bearer tokens.
    max_body_kib
        Largest request body, in KiB.
    grace_s
        Time that requests in flight have to end at shutdown, in seconds.
    """

    name: str
    zone: str
    region: str
    http: str
    peer: str
    seeds: list[str] = []
    admin_tokens: list[str] = []
    max_body_kib: int = 1024
    grace_s: float = 30.0
