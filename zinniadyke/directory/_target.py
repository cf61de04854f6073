"""A target as it registers itself."""

import msgspec

from zinniadyke import ids


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A registered target.

    Attributes
    ----------
    address
        ``ip:port`` for requests.
    slots
        Requests that it runs at once.
    leaving
        Whether it takes no new requests.
    born_ms
        Unix time of its start in milliseconds; 0 when not told. A target
        that starts again under its id has another one.
    weights
        Version of each model that it holds with all layers.
    """

    id: ids.TargetId
    service: ids.ServiceName
    address: str
    zone: ids.ZoneName
    slots: int
    leaving: bool
    born_ms: int
    weights: dict[ids.ModelName, ids.WeightsVersion]

    @property
    def incarnation(self) -> tuple[ids.TargetId, int]:
        """What tells one start of a target from every other."""
        return self.id, self.born_ms

    @property
    def host_ip(self) -> str:
        """Address of the host that the target runs on."""
        return self.address.rpartition(":")[0]


class DesiredWeights(msgspec.Struct, frozen=True, kw_only=True):
    """The version of a model's weights that targets shall hold."""

    model: ids.ModelName
    version: ids.WeightsVersion
