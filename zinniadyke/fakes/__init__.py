"""Stand-ins for the outside systems, over HTTP on loopback."""

from zinniadyke.fakes._engine import expected_words
from zinniadyke.fakes._engine import FakeEngine
from zinniadyke.fakes._engine import WORDS_PER_ANSWER
from zinniadyke.fakes._faults import EngineFaults
from zinniadyke.fakes._faults import OriginFaults
from zinniadyke.fakes._faults import PlatformFaults
from zinniadyke.fakes._origin import FakeOrigin
from zinniadyke.fakes._platform import FakePlatform
from zinniadyke.fakes._service import FakeService

__all__ = [
    "WORDS_PER_ANSWER",
    "EngineFaults",
    "FakeEngine",
    "FakeOrigin",
    "FakePlatform",
    "FakeService",
    "OriginFaults",
    "PlatformFaults",
    "expected_words",
]
