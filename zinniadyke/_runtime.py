"""Sets up eventlet before any other module is imported."""

import os
import warnings

# Greendns takes 20 MB, and peers and external systems are addressed by IP
# number.
os.environ["EVENTLET_NO_GREENDNS"] = "yes"

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet


def patch() -> None:
    """Patch the standard library for eventlet; repeated calls are safe."""
    eventlet.monkey_patch()
