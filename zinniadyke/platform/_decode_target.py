"""Reads what targets and operators write to the store."""

import msgspec

from zinniadyke import directory
from zinniadyke import ids
from zinniadyke.platform import _store


class HeldModel(msgspec.Struct):
    """A model that a target holds, as it writes it."""

    name: str
    version: int = 0


class HeldLayers(msgspec.Struct, rename={"start": "from"}):
    """The layers that a target holds; `target` is their exclusive end."""

    start: int
    target: int
    version: int


class _Registration(msgspec.Struct):
    # `version` is that of the target's software and is not read.
    service: str
    address: str
    zone: str
    state: str
    slots: int = 0
    born: int = 0
    models: list[HeldModel] = []
    layers: HeldLayers | None = None


class _DesiredWeights(msgspec.Struct):
    model: str
    version: int


LEAVING_STATE = "draining"
STATES = ("ready", LEAVING_STATE)


def decode_target(
    stored: _store.StoreObject, layers: dict[str, int]
) -> directory.Target:
    """Return the target that an object registers.

    Parameters
    ----------
    layers
        Layers of a whole model, by service.

    Raises
    ------
    ValueError
        The object names no target that can be used.
    """
    try:
        found = msgspec.json.decode(stored.spec, type=_Registration)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ValueError(str(error))
    if found.state not in STATES:
        raise ValueError(f"unknown state {found.state!r}")
    host, _, port = found.address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"address {found.address!r}")
    return directory.Target(
        id=ids.TargetId(stored.metadata.name),
        service=ids.ServiceName(found.service),
        address=found.address,
        zone=ids.ZoneName(found.zone),
        slots=found.slots,
        leaving=found.state == LEAVING_STATE or stored.metadata.deleting,
        born_ms=found.born,
        weights=whole_versions(
            found.models, found.layers, layers.get(found.service, 0)
        ),
    )


def whole_versions(
    models: list[HeldModel],
    held: HeldLayers | None,
    layer_count: int,
) -> dict[ids.ModelName, ids.WeightsVersion]:
    """Return the version of each model that is held with all layers.

    Parameters
    ----------
    layer_count
        Layers of a whole model; 0 while that is not known.
    """
    if held is not None:
        if held.start > 0 or not layer_count or held.target < layer_count:
            return {}
    return {
        ids.ModelName(m.name): ids.WeightsVersion(m.version) for m in models
    }


def decode_desired_weights(
    stored: _store.StoreObject,
) -> directory.DesiredWeights:
    """Return the version of a model's weights that operators name.

    Raises
    ------
    ValueError
        The object cannot be read.
    """
    try:
        found = msgspec.json.decode(stored.spec, type=_DesiredWeights)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ValueError(str(error))
    return directory.DesiredWeights(
        model=ids.ModelName(found.model),
        version=ids.WeightsVersion(found.version),
    )
