"""Identifiers, each of its own type."""

import secrets
from typing import NewType

HostName = NewType("HostName", str)
ZoneName = NewType("ZoneName", str)
WorkspaceName = NewType("WorkspaceName", str)
ServiceName = NewType("ServiceName", str)
ModelName = NewType("ModelName", str)
VersionName = NewType("VersionName", str)
RolloutName = NewType("RolloutName", str)
RequestId = NewType("RequestId", str)
ChangeId = NewType("ChangeId", str)
Incarnation = NewType("Incarnation", str)
Digest = NewType("Digest", str)
FencingNumber = NewType("FencingNumber", int)
TargetId = NewType("TargetId", str)
ConfigurationVersion = NewType("ConfigurationVersion", int)
WeightsVersion = NewType("WeightsVersion", int)

ID_BYTES = 9


def new_request_id() -> RequestId:
    """Return a fresh request id."""
    return RequestId("r-" + secrets.token_urlsafe(ID_BYTES))


def new_change_id() -> ChangeId:
    """Return a fresh id for a configuration change."""
    return ChangeId("c-" + secrets.token_urlsafe(ID_BYTES))


def new_incarnation() -> Incarnation:
    """Return a fresh id for one life of a process."""
    return Incarnation(secrets.token_urlsafe(ID_BYTES))
