"""Fakes of external systems that serve HTTP on loopback."""

from zinniadyke.fakes._engine import expected_words
from zinniadyke.fakes._engine import FakeEngine
from zinniadyke.fakes._engine import WORDS_PER_ANSWER
from zinniadyke.fakes._faults import EngineFaults
from zinniadyke.fakes._faults import OriginFaults
from zinniadyke.fakes._faults import PlatformFaults
from zinniadyke.fakes._model_server import expected_piece
from zinniadyke.fakes._model_server import FakeModelServer
from zinniadyke.fakes._model_server import FakeWeightsOrigin
from zinniadyke.fakes._origin import FakeOrigin
from zinniadyke.fakes._platform import FakePlatform
from zinniadyke.fakes._scripted_target import Exchange
from zinniadyke.fakes._scripted_target import ScriptedTarget
from zinniadyke.fakes._service import FakeService
from zinniadyke.fakes._store import FakeStore

__all__ = [
    "WORDS_PER_ANSWER",
    "EngineFaults",
    "Exchange",
    "FakeEngine",
    "FakeModelServer",
    "FakeOrigin",
    "FakePlatform",
    "FakeService",
    "FakeStore",
    "FakeWeightsOrigin",
    "OriginFaults",
    "PlatformFaults",
    "ScriptedTarget",
    "expected_piece",
    "expected_words",
]
