"""Types of identifiers, and generators of new ones."""

import secrets
from typing import NewType

HostName = NewType("HostName", str)
ZoneName = NewType("ZoneName", str)
RegionName = NewType("RegionName", str)
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
CrashId = NewType("CrashId", str)
# A model and the hash of one part of its prompts.
PromptPart = NewType("PromptPart", str)
# Digest of what a request asks for; equal requests have the same.
RequestContent = NewType("RequestContent", str)
# What may crash targets.
Suspect = PromptPart | RequestContent

ID_BYTES = 9


def new_request_id() -> RequestId:
    """Return a new random request id."""
    return RequestId("r-" + secrets.token_urlsafe(ID_BYTES))


def new_change_id() -> ChangeId:
    """Return a new random id for a configuration change."""
    return ChangeId("c-" + secrets.token_urlsafe(ID_BYTES))


def new_incarnation() -> Incarnation:
    """Return a new random id for one run of a process."""
    return Incarnation(secrets.token_urlsafe(ID_BYTES))
