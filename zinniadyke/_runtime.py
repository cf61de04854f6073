"""Prepares the process for eventlet before anything else is imported."""

import os
import warnings

# Greendns costs 20 MB; peers and outside systems are met by IP number.
os.environ["EVENTLET_NO_GREENDNS"] = "yes"

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet


def patch() -> None:
    """Make the standard library cooperative. Safe to call twice."""
    eventlet.monkey_patch()
