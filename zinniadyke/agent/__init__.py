"""The process beside each target."""

from zinniadyke.agent._agent import Agent
from zinniadyke.agent._gate import Gate

__all__ = ["Agent", "Gate"]
