"""Load reports that agents send to entries, as datagrams."""

from zinniadyke.reports._messages import decode
from zinniadyke.reports._messages import encode
from zinniadyke.reports._messages import LoadReport
from zinniadyke.reports._messages import Subscribe
from zinniadyke.reports._named import learn_named

__all__ = ["LoadReport", "Subscribe", "decode", "encode", "learn_named"]
