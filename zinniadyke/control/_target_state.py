"""Checks on the statuses that the agents of targets report."""

from zinniadyke.control import _permits
from zinniadyke import peers


def is_serving(status: peers.Status) -> bool:
    """Return whether the target accepts requests."""
    return status.gate is peers.GateState.SERVING


def is_serving_version(status: peers.Status, name: str) -> bool:
    """Return whether the target accepts requests for version ``name``."""
    return is_serving(status) and status.version == name


def can_activate(status: peers.Status, name: str, held: bool) -> bool:
    """Return whether a target may be ordered to activate ``name``.

    Parameters
    ----------
    held
        Whether the newest rollout of the model was cancelled. A target that
        serves then keeps its version.
    """
    if held and is_serving(status):
        return False
    return not is_serving_version(status, name)


def is_permit_spent(
    status: peers.Status,
    permit: _permits.Permit,
    name: str,
    revision: int,
) -> bool:
    """Return whether the agent would refuse any order under its permit.

    This is the case when the target serves and one of these holds: it has
    loaded the permit's version, the agent restarted after the permit was
    granted, or the agent knows the newer rollout to ``name``.

    Parameters
    ----------
    name
        ``model/version`` of the current rollout.
    revision
        Revision of the configuration that contains that rollout.
    """
    if not is_serving(status):
        return False
    loaded = status.version == permit.version
    restarted = status.incarnation != permit.incarnation
    superseded = permit.version != name and status.revision >= revision
    return loaded or restarted or superseded
