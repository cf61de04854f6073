"""The deploy file: which programs run on the platform's hosts, and how."""

import enum
import pathlib

import msgspec

from zinniadyke import errors
from zinniadyke import platform
from zinniadyke.settings import _load
from zinniadyke.settings import _platform_host
from zinniadyke.settings import _schema

# The platform refuses templates from this size on, in bytes.
MAX_TEMPLATE_BYTES = 65536
MODULE = ["python3", "-m", "zinniadyke"]
PROGRAMS = ("gateway", "sidecar")


class HostClass(enum.Enum):
    """Class of hosts that a role runs on."""

    ENTRY = "front"
    TARGET = "side"


class RoleSection(_schema.Section):
    """A program and where it runs.

    Attributes
    ----------
    share, count
        How many hosts of the class in each zone run it; one of the two.
    serves
        Who may call it from outside.
    template
        File that the platform makes its settings from.
    metrics
        Port and path of its metrics.
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


# What the platform fills in, for one host of each class.
SAMPLE = {
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
OF_CLASS = {
    HostClass.ENTRY: {
        "listen": {"front": "10.0.0.1:8001", "ready": "10.0.0.1:8002"}
    },
    HostClass.TARGET: {"app": "10.0.0.1:8003", "service": "models"},
}


def check_deployment(path: pathlib.Path) -> None:
    """Check a deploy file and the templates that it names.

    Raises
    ------
    SettingsError
        Names the file, the key, what was found and what is allowed.
    """
    loaded = _load.load(str(path), DeploymentFile)
    for name, role in loaded.roles.items():
        place = f"{path}: roles.{name}"
        _check_role(place, role)
        if role.template is not None:
            _check_template(place, role, path.resolve().parent.parent)


def _check_role(place: str, role: RoleSection) -> None:
    words = role.run.split()
    if words[:3] != MODULE or words[3:] not in [[p] for p in PROGRAMS]:
        allowed = ", ".join(" ".join([*MODULE, p]) for p in PROGRAMS)
        raise errors.SettingsError(
            f"{place}.run: allowed: {allowed} (found {role.run!r})"
        )
    if (role.share is None) == (role.count is None):
        raise errors.SettingsError(f"{place}: one of share, count is needed")
    if role.share is not None and not 0 < role.share <= 1:
        raise errors.SettingsError(
            f"{place}.share: expected more than 0 and at most 1"
            f" (found {role.share})"
        )
    if role.count is not None and role.count < 1:
        raise errors.SettingsError(
            f"{place}.count: expected 1 or more (found {role.count})"
        )
    if role.metrics is not None and not role.metrics.split("/")[0].isdigit():
        raise errors.SettingsError(
            f"{place}.metrics: expected PORT/PATH (found {role.metrics!r})"
        )


def _check_template(place: str, role: RoleSection, root: pathlib.Path) -> None:
    """Fill the template in and check what comes out."""
    path = root / role.template
    try:
        data = path.read_bytes()
        text = data.decode()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{place}.template: {path}: {error}")
    if len(data) >= MAX_TEMPLATE_BYTES:
        raise errors.SettingsError(
            f"{place}.template: {path}: {len(data)} bytes; the platform takes"
            f" less than {MAX_TEMPLATE_BYTES}"
        )
    fields = {**SAMPLE, **OF_CLASS[role.on], "role": role.run}
    try:
        _load.parse(
            str(path),
            platform.render_template(text, fields),
            _platform_host.PlatformProcessSettings,
        )
    except (errors.SettingsError, msgspec.MsgspecError) as error:
        raise errors.SettingsError(f"{place}.template: {error}")
