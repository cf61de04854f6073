"""The service kind."""

import enum

import msgspec

from zinniadyke.objects import _registry


class ServiceKind(enum.Enum):
    """What the targets of a service run."""

    MODEL = "model"
    PLAIN = "plain"


class PlatformDownPolicy(enum.Enum):
    """What a call with an idempotency key gets while the platform is down.

    REFUSE answers ``not run``. SERVE runs it without a claim, so that a
    second call with the key at another entry may run again.
    """

    REFUSE = "refuse"
    SERVE = "serve"


@_registry.register("service")
class Service(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A set of targets that do the same work.

    Attributes
    ----------
    slots
        Requests that one target takes at a time.
    idempotent
        Calls that may run more than once, as ``METHOD /path-prefix``.
        GET, HEAD and OPTIONS always may.
    checks_fencing
        Whether the engines refuse orders with an old fencing number.
    timeout
        Time limit of a request, in seconds.
    """

    kind: ServiceKind
    slots: int = 16
    idempotent: list[str] = []
    checks_fencing: bool = False
    without_platform: PlatformDownPolicy = PlatformDownPolicy.REFUSE
    timeout: float = 30.0
