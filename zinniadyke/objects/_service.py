"""The service kind."""

import enum

import msgspec

from zinniadyke.objects import _registry


class ServiceKind(enum.Enum):
    """What the targets of a service run: a model or a plain service."""

    MODEL = "model"
    PLAIN = "plain"


class PlatformDownPolicy(enum.Enum):
    """How a request with an idempotency key is handled without the platform.

    While the platform is down, REFUSE answers ``not run``. SERVE runs the
    request without a claim, so a second request with the same key at another
    entry may run again.
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
        Concurrency limit of one target, in requests.
    idempotent
        Requests that may run more than once, as ``METHOD /path-prefix``.
        GET, HEAD and OPTIONS always may.
    checks_fencing
        Whether the engines reject orders with an old fencing number.
    timeout
        Timeout of a request, in seconds.
    """

    kind: ServiceKind
    slots: int = 16
    idempotent: list[str] = []
    checks_fencing: bool = False
    without_platform: PlatformDownPolicy = PlatformDownPolicy.REFUSE
    timeout: float = 30.0
