"""Purposes of platform calls, by which the calls are counted."""

import enum


class Purpose(enum.Enum):
    """Purpose of a platform call."""

    CONFIGURATION = "configuration"
    MEMBERSHIP = "membership"
    LEASE = "lease"
    PERMIT = "permit"
    CLAIM = "claim"
    FENCE = "fence"
    STATUS = "status"
