"""Validates the deploy file, which says where each program runs."""

import enum
import pathlib

import msgspec

from zinniadyke import errors
from zinniadyke import platform
from zinniadyke.settings import _load
from zinniadyke.settings import _platform_host
from zinniadyke.settings import _schema

# The platform rejects templates of this size or larger.
MAX_TEMPLATE_BYTES = 65536
RUN_MODULE = ["python3", "-m", "zinniadyke"]
PROGRAMS = ("gateway", "sidecar")


class HostClass(enum.Enum):
    """Class of the hosts that run a role."""

    ENTRY = "front"
    TARGET = "side"


class RoleSection(_schema.Section):
    """A program and the hosts that run it.

    Attributes
    ----------
    share, count
        Fraction or number of the class's hosts in each zone that run it; just
        one of the two is set.
    serves
        Outside callers that may reach it.
    template
        File that the platform renders into its settings.
    metrics
        Port and path of its metrics, as ``PORT/PATH``.
    """

    run: str
    on: HostClass
    share: float | None = None
    count: int | None = None
    apart: bool = False
    serves: list[str] = []
    template: str | None = None
    metrics: str | None = None
    env: dict[str, str] = {}


class DeploymentFile(_schema.Section):
    """The whole deploy file."""

    build: str
    roles: dict[str, RoleSection]
    packages: list[str] = []


# Sample values of the fields that the platform fills in on every host.
SAMPLE_FIELDS = {
    "node": "host-1",
    "zone": "z1",
    "region": "r1",
    "ip": "10.0.0.1",
    "zones": {"z1": "r1", "z2": "r2"},
    "internal_ports": [7700, 7715],
    "limits": {"memory_mb": 300, "link_mbps": 3.8},
    "platform": {"address": "10.200.0.1:8000", "value_bytes": 1048576},
    "bounds": {
        "drain_ms": 2000,
        "config_apply_ms": 2000,
        "version_ms": 8000,
        "grace_s": 8,
        "retry_budget_ratio": 0.2,
        "budget_window_s": 10,
        "budget_extra": 104,
        "stable_window_ms": 3000,
        "reuse_after_s": 2,
    },
}
# Sample values of the fields that differ by host class.
SAMPLE_BY_CLASS = {
    HostClass.ENTRY: {
        "listen": {"front": "10.0.0.1:8001", "ready": "10.0.0.1:8002"}
    },
    HostClass.TARGET: {"app": "10.0.0.1:8003", "service": "models"},
}


def check_deployment(path: pathlib.Path) -> None:
    """Validate a deploy file and the templates that it names.

    Raises
    ------
    SettingsError
        The deploy file or a template is not valid. The message names the
        file, the key, the value found and the allowed values.
    """
    deploy_file = _load.load(str(path), DeploymentFile)
    for name, role in deploy_file.roles.items():
        location = f"{path}: roles.{name}"
        _check_role(location, role)
        if role.template is not None:
            _check_template(location, role, path.resolve().parent.parent)


def _check_role(location: str, role: RoleSection) -> None:
    command = role.run.split()
    if command[:3] != RUN_MODULE or command[3:] not in [[p] for p in PROGRAMS]:
        allowed = ", ".join(" ".join([*RUN_MODULE, p]) for p in PROGRAMS)
        raise errors.SettingsError(
            f"{location}.run: allowed: {allowed} (found {role.run!r})"
        )
    if (role.share is None) == (role.count is None):
        raise errors.SettingsError(
            f"{location}: one of share, count is needed"
        )
    if role.share is not None and not 0 < role.share <= 1:
        raise errors.SettingsError(
            f"{location}.share: expected more than 0 and at most 1"
            f" (found {role.share})"
        )
    if role.count is not None and role.count < 1:
        raise errors.SettingsError(
            f"{location}.count: expected 1 or more (found {role.count})"
        )
    if role.metrics is not None and not role.metrics.split("/")[0].isdigit():
        raise errors.SettingsError(
            f"{location}.metrics: expected PORT/PATH (found {role.metrics!r})"
        )


def _check_template(
    location: str, role: RoleSection, root: pathlib.Path
) -> None:
    """Render the template with sample values and validate the result."""
    path = root / role.template
    try:
        data = path.read_bytes()
        text = data.decode()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{location}.template: {path}: {error}")
    if len(data) >= MAX_TEMPLATE_BYTES:
        raise errors.SettingsError(
            f"{location}.template: {path}: {len(data)} bytes; expected less"
            f" than {MAX_TEMPLATE_BYTES}"
        )
    fields = {**SAMPLE_FIELDS, **SAMPLE_BY_CLASS[role.on], "role": role.run}
    try:
        _load.parse(
            str(path),
            platform.render_template(text, fields),
            _platform_host.PlatformProcessSettings,
        )
    except (errors.SettingsError, msgspec.MsgspecError) as error:
        raise errors.SettingsError(f"{location}.template: {error}")
