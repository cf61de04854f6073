"""Datagrams between agents and entries, and between agents."""

from zinniadyke.reports._desired_weights import learn_desired_weights
from zinniadyke.reports._evacuations import describe_evacuations
from zinniadyke.reports._evacuations import learn_evacuations
from zinniadyke.reports._indexes import decode_indexes
from zinniadyke.reports._indexes import encode_indexes
from zinniadyke.reports._messages import CrashReport
from zinniadyke.reports._messages import decode
from zinniadyke.reports._messages import DemandByPriority
from zinniadyke.reports._messages import encode
from zinniadyke.reports._messages import Evacuations
from zinniadyke.reports._messages import Interruption
from zinniadyke.reports._messages import LoadReport
from zinniadyke.reports._messages import Message
from zinniadyke.reports._messages import PieceQuery
from zinniadyke.reports._messages import PieceReport
from zinniadyke.reports._messages import RefusedCaller
from zinniadyke.reports._messages import RefusedCallers
from zinniadyke.reports._messages import Subscribe
from zinniadyke.reports._messages import SuspectNews
from zinniadyke.reports._messages import SuspectsByRequest
from zinniadyke.reports._messages import TokenAnswer
from zinniadyke.reports._messages import TokenRequest
from zinniadyke.reports._split import split_requests

__all__ = [
    "CrashReport",
    "DemandByPriority",
    "Evacuations",
    "Interruption",
    "LoadReport",
    "Message",
    "PieceQuery",
    "PieceReport",
    "RefusedCaller",
    "RefusedCallers",
    "Subscribe",
    "SuspectNews",
    "SuspectsByRequest",
    "TokenAnswer",
    "TokenRequest",
    "decode",
    "decode_indexes",
    "describe_evacuations",
    "encode",
    "encode_indexes",
    "learn_desired_weights",
    "learn_evacuations",
    "split_requests",
]
