"""Agent process that runs beside each target."""

from zinniadyke.agent._admission_gate import AdmissionGate
from zinniadyke.agent._agent import Agent

__all__ = ["Agent", "AdmissionGate"]
