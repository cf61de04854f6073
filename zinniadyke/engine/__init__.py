"""Client of the engine or plain service that runs beside an agent."""

from zinniadyke.engine._client import EngineClient
from zinniadyke.engine._client import EngineState
from zinniadyke.engine._client import EngineStream

__all__ = ["EngineClient", "EngineState", "EngineStream"]
