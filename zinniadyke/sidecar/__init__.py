"""The sidecar, the agent beside a target on the users' platform."""

from zinniadyke.sidecar._sidecar import Sidecar

__all__ = ["Sidecar"]
