"""Logs as one JSON object a line."""

import logging
import sys

from pythonjsonlogger import json as json_logger

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def set_up_logs(level: str, *, process: str) -> None:
    """Send all logs of at least ``level`` to standard output.

    Parameters
    ----------
    process
        Name that every record carries.
    """
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(
        json_logger.JsonFormatter(
            FORMAT,
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"process": process},
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    # Each connection beyond the kept ones would be a line.
    logging.getLogger("urllib3").setLevel(logging.ERROR)
