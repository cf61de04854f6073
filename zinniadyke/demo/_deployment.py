"""Shapes of the two deployments that the demo knows."""

import msgspec

from zinniadyke import objects


class ServiceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A service and its number of targets.

    Attributes
    ----------
    idempotent_path, non_idempotent_path
        Paths of an idempotent and of a non-idempotent call.
    """

    name: str
    targets: int
    idempotent_path: str = ""
    non_idempotent_path: str = ""


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """Shape of a deployment.

    Attributes
    ----------
    floor
        Replicas of the model that must keep serving in a rollout.
    """

    name: str
    region: str
    zones: list[str]
    model: str
    model_service: ServiceSpec
    plain_services: list[ServiceSpec]
    classes: list[str]
    checks_fencing: bool
    favour: objects.Favour
    floor: int
    entries: int = 2


DEPLOYMENTS = {
    "hafez": Deployment(
        name="hafez",
        region="egypt",
        zones=["cairo", "alexandria", "asyut"],
        model="drafting",
        model_service=ServiceSpec(name="drafting", targets=6),
        plain_services=[
            ServiceSpec(
                name="desk-app",
                targets=3,
                idempotent_path="/lookup",
                non_idempotent_path="/book",
            ),
            ServiceSpec(
                name="records",
                targets=1,
                idempotent_path="/case-file",
                non_idempotent_path="/note",
            ),
        ],
        classes=["clerk", "lawyer"],
        checks_fencing=True,
        favour=objects.Favour.ORIGIN,
        floor=4,
    ),
    "saskatoon": Deployment(
        name="saskatoon",
        region="saskatchewan",
        zones=["regina", "saskatoon", "swift-current"],
        model="desk",
        model_service=ServiceSpec(name="language-pool", targets=6),
        plain_services=[
            ServiceSpec(
                name="code-lookup",
                targets=3,
                idempotent_path="/lookup",
                non_idempotent_path="/send-code",
            ),
            ServiceSpec(
                name="caller-records",
                targets=1,
                idempotent_path="/find",
                non_idempotent_path="/note",
            ),
        ],
        classes=["phone", "kiosk"],
        checks_fencing=False,
        favour=objects.Favour.TIME,
        floor=4,
    ),
}
