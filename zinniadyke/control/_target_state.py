"""What a controller concludes from the statuses of targets."""

from zinniadyke.control import _permits
from zinniadyke import peers


def is_serving(status: peers.Status) -> bool:
    """Return whether the agent lets requests through."""
    return status.gate is peers.GateState.SERVING


def serves(status: peers.Status, name: str) -> bool:
    """Return whether the agent lets requests through to ``name``."""
    return is_serving(status) and status.version == name


def may_swap(status: peers.Status, name: str, held: bool) -> bool:
    """Return whether a target may be told to serve ``name``."""
    if held and is_serving(status):
        return False
    return not serves(status, name)


def has_used(
    status: peers.Status,
    permit: _permits.Permit,
    name: str,
    revision: int,
) -> bool:
    """Return whether the host would refuse any order under its permit.

    It serves, and has loaded the permit's version, or is another life of
    the agent, or knows the later rollout that wants ``name``.

    Parameters
    ----------
    revision
        Revision of the configuration that wants ``name``.
    """
    if not is_serving(status):
        return False
    loaded = status.version == permit.version
    restarted = status.incarnation != permit.incarnation
    superseded = permit.version != name and status.revision >= revision
    return loaded or restarted or superseded
