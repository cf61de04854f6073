"""What a platform call is made for, so that calls are counted apart."""

import enum


class Purpose(enum.Enum):
    """Reason of a platform call."""

    CONFIGURATION = "configuration"
    MEMBERSHIP = "membership"
    LEASE = "lease"
    PERMIT = "permit"
    CLAIM = "claim"
    FENCE = "fence"
    STATUS = "status"
