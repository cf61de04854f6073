"""Result codes, and exceptions that each have one."""

from zinniadyke.errors._codes import Ran
from zinniadyke.errors._codes import ResultCode
from zinniadyke.errors._exceptions import ConflictError
from zinniadyke.errors._exceptions import DeclarationError
from zinniadyke.errors._exceptions import EngineError
from zinniadyke.errors._exceptions import OrderRefusedError
from zinniadyke.errors._exceptions import PeerTimeoutError
from zinniadyke.errors._exceptions import PlatformError
from zinniadyke.errors._exceptions import PlatformTimeoutError
from zinniadyke.errors._exceptions import RequestError
from zinniadyke.errors._exceptions import SettingsError
from zinniadyke.errors._exceptions import UnknownOutcomeError
from zinniadyke.errors._exceptions import UserError
from zinniadyke.errors._exceptions import WeightsError
from zinniadyke.errors._exceptions import ZinniadykeError

__all__ = [
    "ConflictError",
    "DeclarationError",
    "EngineError",
    "OrderRefusedError",
    "PeerTimeoutError",
    "PlatformError",
    "PlatformTimeoutError",
    "Ran",
    "RequestError",
    "ResultCode",
    "SettingsError",
    "UnknownOutcomeError",
    "UserError",
    "WeightsError",
    "ZinniadykeError",
]
