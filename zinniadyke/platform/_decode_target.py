"""Decodes registrations of targets and desired versions of weights."""

import ipaddress
import re
import typing

import msgspec

from zinniadyke import decoding
from zinniadyke import directory
from zinniadyke import ids
from zinniadyke.platform import _cold_time
from zinniadyke.platform import _store

MAX_PORT = 65535
_PORT = re.compile(r"[0-9]{1,5}")
# Fits into 64 bits with room to calculate.
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]


class HeldModel(msgspec.Struct):
    """A model that a target holds, as encoded by the target."""

    name: str
    version: Count = 0
    adapters: list = []


class HeldLayers(msgspec.Struct, rename={"start": "from"}):
    """Range of layers that a target holds; `target` is its exclusive end."""

    start: Count
    target: Count
    version: Count


class _Registration(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: Count
    # Version of the target's software, and number of changes of what it
    # holds. Neither is used, but without them another writer left the entry.
    version: str
    seq: Count
    # Any number, as one that is out of range does not invalidate the
    # registration.
    cold_remaining_ms: msgspec.Raw
    # Not used, but another writer may have left one of another type.
    stage: str = ""
    born: Count = 0
    models: list[HeldModel] = []
    layers: HeldLayers | None = None


class _DesiredWeights(msgspec.Struct):
    model: str
    version: Count


LEAVING_STATE = "draining"
STATES = ("ready", LEAVING_STATE)


def decode_target(
    stored: _store.StoreObject, layers: dict[str, int]
) -> directory.Target:
    """Return the target that an object registers.

    Parameters
    ----------
    layers
        Number of layers of a complete model, by service.

    Raises
    ------
    ValueError
        The object does not describe a usable target.
    """
    try:
        decoded = msgspec.json.decode(stored.spec, type=_Registration)
    except decoding.UNREADABLE as error:
        raise ValueError(str(error))
    if decoded.state not in STATES:
        raise ValueError(
            f"state {decoded.state!r} is neither ready nor draining"
        )
    _check_address(decoded.address)
    return directory.Target(
        id=ids.TargetId(stored.metadata.name),
        service=ids.ServiceName(decoded.service),
        address=decoded.address,
        zone=ids.ZoneName(decoded.zone),
        slots=decoded.slots,
        leaving=decoded.state == LEAVING_STATE or stored.metadata.deleting,
        born_ms=decoded.born,
        weights=complete_versions(
            decoded.models, decoded.layers, layers.get(decoded.service, 0)
        ),
        cold_remaining_s=_cold_time.decode_cold(
            bytes(decoded.cold_remaining_ms),
            ids.TargetId(stored.metadata.name),
        ),
    )


def _check_address(address: str) -> None:
    """Raise ValueError unless an address is an IPv4 number and a port."""
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"no port in the address {address!r}")


def complete_versions(
    models: list[HeldModel],
    held: HeldLayers | None,
    layer_count: int,
) -> dict[ids.ModelName, ids.WeightsVersion]:
    """Return the version of each model of which all layers are held.

    Parameters
    ----------
    held
        Layers that are held; None if all are.
    layer_count
        Number of layers of a complete model; 0 if unknown.
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
    """Return the version of a model's weights that operators want.

    Raises
    ------
    ValueError
        The object cannot be decoded.
    """
    try:
        decoded = msgspec.json.decode(stored.spec, type=_DesiredWeights)
    except decoding.UNREADABLE as error:
        raise ValueError(str(error))
    return directory.DesiredWeights(
        model=ids.ModelName(decoded.model),
        version=ids.WeightsVersion(decoded.version),
    )
