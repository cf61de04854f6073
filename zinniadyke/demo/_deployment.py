"""The users' two deployments."""

import msgspec

from zinniadyke import objects


class ServiceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Targets of a service.

    Attributes
    ----------
    safe_path, unsafe_path
        Paths of an idempotent and of a non-idempotent call.
    """

    name: str
    targets: int
    safe_path: str = ""
    unsafe_path: str = ""


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
                safe_path="/lookup",
                unsafe_path="/book",
            ),
            ServiceSpec(
                name="records",
                targets=1,
                safe_path="/case-file",
                unsafe_path="/note",
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
                safe_path="/lookup",
                unsafe_path="/send-code",
            ),
            ServiceSpec(
                name="caller-records",
                targets=1,
                safe_path="/find",
                unsafe_path="/note",
            ),
        ],
        classes=["phone", "kiosk"],
        checks_fencing=False,
        favour=objects.Favour.TIME,
        floor=4,
    ),
}
