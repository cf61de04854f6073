"""Logs one JSON object per line, at a limited rate."""

import logging
import sys

from pythonjsonlogger import json as json_logger

from zinniadyke.telemetry import _line_writer

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


class RateLimitedHandler(logging.Handler):
    """Passes formatted records to a rate-limited line writer."""

    def __init__(self, *, writer: _line_writer.LineWriter) -> None:
        """Write through ``writer``."""
        super().__init__()
        self.writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record with the number of lines dropped before it."""
        try:
            if self.writer.dropped:
                record.dropped_before = self.writer.dropped
            self.writer.write(self.format(record))
        except Exception:
            self.handleError(record)

    def flush(self) -> None:
        """Write buffered bytes without blocking."""
        self.writer.flush()


def set_up_logs(level: str, *, process: str) -> None:
    """Send all logs of at least ``level`` to standard output.

    Parameters
    ----------
    process
        Process name, added to every record.
    """
    writer = _line_writer.LineWriter(fd=sys.stdout.fileno())
    handler = RateLimitedHandler(writer=writer)
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
    # urllib3 warns about each connection beyond its pool size.
    logging.getLogger("urllib3").setLevel(logging.ERROR)
