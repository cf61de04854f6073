"""The process beside each target."""

from zinniadyke.agent._agent import Agent
from zinniadyke.agent._gate import Gate
from zinniadyke.agent._settings import AgentSettings

__all__ = ["Agent", "AgentSettings", "Gate"]
