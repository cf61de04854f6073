"""Registered targets and the weights that they shall hold."""

import msgspec

from zinniadyke import ids


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A registered target.

    Attributes
    ----------
    address
        ``ip:port`` that accepts requests.
    slots
        Requests that it runs concurrently.
    leaving
        Whether it accepts no new requests.
    born_ms
        Unix time of its start in milliseconds; 0 if unknown. It differs
        after a restart of a target that keeps its id.
    weights
        Version of each model of which it holds all layers.
    cold_remaining_s
        Time in seconds for which it was still cold when it registered; None
        if it did not say.
    """

    id: ids.TargetId
    service: ids.ServiceName
    address: str
    zone: ids.ZoneName
    slots: int
    leaving: bool
    born_ms: int
    weights: dict[ids.ModelName, ids.WeightsVersion]
    cold_remaining_s: float | None = None

    @property
    def incarnation(self) -> tuple[ids.TargetId, int]:
        """Identity of one start of a target."""
        return self.id, self.born_ms

    @property
    def host_ip(self) -> str:
        """Address of the host that the target runs on."""
        return self.address.rpartition(":")[0]


class DesiredWeights(msgspec.Struct, frozen=True, kw_only=True):
    """The version of a model's weights that targets shall hold.

    Attributes
    ----------
    recorded_since
        Time of :func:`zinniadyke.uptime.now_s` at which the store's record
        says that the version was named; None without a usable record.
    """

    model: ids.ModelName
    version: ids.WeightsVersion
    recorded_since: float | None = None
